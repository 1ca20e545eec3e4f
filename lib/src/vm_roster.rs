//! The VMs that were started for one service, and which of them are to be
//! stopped.
//!
//! Pure. A VM is stopped because the log has a later plan for its slot, which
//! no holder of the lease can take back: a stop needs no right that ends. A
//! plan that was appended and did not count stops nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::VmId;
use crate::lease::SlotPlan;
use crate::quantity::Timestamp;

/// How long work may take to leave a VM before it is stopped.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// One of the VMs that a slot has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SlotKey {
    slot: u32,
    generation: u32,
}

impl SlotKey {
    fn of(plan: &SlotPlan) -> Self {
        Self {
            slot: plan.slot,
            generation: plan.generation,
        }
    }
}

/// What is to be done about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmUse {
    /// Its plan is the newest of its slot, as far as is known.
    Planned,
    /// Work leaves it.
    Leaving {
        /// When it is stopped.
        stop_at: Timestamp,
    },
    /// The cloud was asked to stop it.
    Stopped,
}

#[derive(Clone, Debug)]
struct StartedVm {
    vm: VmId,
    current: VmUse,
}

/// The VMs that this entry knows to have been started for one service.
#[derive(Clone, Debug, Default)]
pub struct VmRoster {
    vms: BTreeMap<SlotKey, StartedVm>,
}

impl VmRoster {
    /// Notes that the cloud named the VM of a plan.
    pub fn note_started(&mut self, plan: &SlotPlan, vm: VmId) {
        let current = VmUse::Planned;
        self.vms
            .entry(SlotKey::of(plan))
            .or_insert(StartedVm { vm, current });
    }

    /// Returns the VM of a plan, if the cloud named it.
    pub fn vm(&self, plan: &SlotPlan) -> Option<&VmId> {
        self.vms.get(&SlotKey::of(plan)).map(|started| &started.vm)
    }

    /// Iterates over all VMs that were started, also those that were stopped.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.vms.values().map(|started| &started.vm)
    }

    /// Lets work leave the VMs in whose place `slots`, as read from the log, have
    /// a later plan. Returns those that were not leaving before.
    pub fn retire_replaced(&mut self, now: Timestamp, slots: &[SlotPlan]) -> Vec<VmId> {
        let mut retired = Vec::new();
        for (key, started) in &mut self.vms {
            let later = |plan: &SlotPlan| plan.slot == key.slot && plan.generation > key.generation;
            if started.current == VmUse::Planned && slots.iter().any(later) {
                let stop_at = now.after(STOP_GRACE);
                started.current = VmUse::Leaving { stop_at };
                retired.push(started.vm.clone());
            }
        }
        retired
    }

    /// Returns the VMs to stop now, again and again until they were stopped.
    pub fn due_stops(&self, now: Timestamp) -> Vec<VmId> {
        let is_due = |started: &&StartedVm| match started.current {
            VmUse::Leaving { stop_at } => now >= stop_at,
            VmUse::Planned | VmUse::Stopped => false,
        };
        let due = self.vms.values().filter(is_due);
        due.map(|started| started.vm.clone()).collect()
    }

    /// Notes that the cloud answered to a stop.
    pub fn note_stopped(&mut self, vm: &VmId) {
        let of_vm = self.vms.values_mut().filter(|started| started.vm == *vm);
        for started in of_vm {
            started.current = VmUse::Stopped;
        }
    }
}
