//! The platform's VM list and cloud API.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::build_request;
use crate::id::MachineClass;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::quantity::HourlyPrice;
use crate::settings::BaseUrl;

/// How long a query of the platform may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// How a VM is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmMarket {
    /// Cheap, and taken back on short notice.
    Reclaimable,
    /// Dear, and kept.
    OnDemand,
}

/// What the list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will stop.
    Leaving,
}

/// A VM of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Where its server listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its class.
    pub class: MachineClass,
    /// The service that it serves.
    pub service: ServiceName,
    /// How it is paid for.
    pub market: VmMarket,
    /// What an hour costs.
    pub price: HourlyPrice,
    /// What the list says of it.
    pub state: VmState,
}

/// The answer of the VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmPage {
    /// All VMs listed.
    pub vms: Vec<VmRecord>,
}

/// A notice that a VM will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// The notice's number, rising.
    pub number: u64,
    /// The VM.
    pub vm: VmId,
    /// The time left when the answer was given, in milliseconds.
    pub left_ms: u64,
}

/// The answer to a query for notices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticePage {
    /// Notices numbered above the number asked for.
    pub notices: Vec<ReclaimNotice>,
}

/// An order to start a VM. The same token never starts two.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmOrder {
    /// Identifies the order.
    pub token: String,
    /// The service that the VM will serve.
    pub service: ServiceName,
    /// Where to start it.
    pub zone: ZoneName,
    /// What to start.
    pub class: MachineClass,
    /// How to pay.
    pub market: VmMarket,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStarted {
    /// The VM.
    pub vm: VmId,
}

/// A client of the VM list and the cloud API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    vm_list: BaseUrl,
    cloud_api: BaseUrl,
}

impl PlatformClient {
    /// Returns a client of the two services.
    pub fn new(http: HttpClient, vm_list: BaseUrl, cloud_api: BaseUrl) -> Self {
        Self {
            http,
            vm_list,
            cloud_api,
        }
    }

    /// Returns the VMs listed. The list lags.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn vms(&self) -> Result<VmPage, HttpError> {
        let url = self.vm_list.join("/vms");
        self.http.get_json(&url, QUERY_TIMEOUT).await
    }

    /// Returns reclaim notices numbered above `after`.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn notices(&self, after: u64) -> Result<NoticePage, HttpError> {
        let url = self.cloud_api.join(&format!("/notices?after={after}"));
        self.http.get_json(&url, QUERY_TIMEOUT).await
    }

    /// Orders a VM. After a lost answer the same order may be sent again.
    ///
    /// # Errors
    ///
    /// See [`HttpError`]; status 503 means that the start was refused.
    pub async fn start_vm(&self, order: &VmOrder) -> Result<VmStarted, HttpError> {
        let url = self.cloud_api.join("/vms");
        let body =
            serde_json::to_string(order).map_err(|error| HttpError::NotSent(error.to_string()))?;
        self.http.post_json(&url, body, QUERY_TIMEOUT).await
    }

    /// Stops a VM. Stopping one that is gone changes nothing.
    ///
    /// # Errors
    ///
    /// See [`HttpError`].
    pub async fn stop_vm(&self, vm: &VmId) -> Result<(), HttpError> {
        let url = self.cloud_api.join(&format!("/vms/{vm}"));
        let request = build_request(http::Request::delete(url), bytes::Bytes::new())?;
        let _: serde_json::Value = self.http.fetch_json(request, QUERY_TIMEOUT).await?;
        Ok(())
    }
}
