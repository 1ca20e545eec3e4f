//! Policy programs: who may use which service, at what priority, in which
//! availability zones and at what price.
//!
//! A program is a `rhai` script that sees `account`, `service`, `zones` (an
//! array of zone names) and `input_tokens`, and ends with a map such as
//! `#{ allow: true, priority: 1, zones: ["dakar-a"], max_price: 2.5 }`.
//! Absent keys mean: allowed, priority [`DEFAULT_PRIORITY`], every zone, any
//! price. Steps, call depth and sizes are limited, and nothing outside the
//! script can be reached, so that a program can be wrong but not harmful.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use rhai::AST;
use rhai::Array;
use rhai::Dynamic;
use rhai::Engine;
use rhai::Map;
use rhai::Scope;
use rhai::packages::ArithmeticPackage;
use rhai::packages::BasicArrayPackage;
use rhai::packages::BasicIteratorPackage;
use rhai::packages::BasicMapPackage;
use rhai::packages::BasicMathPackage;
use rhai::packages::BasicStringPackage;
use rhai::packages::LogicPackage;
use rhai::packages::MoreStringPackage;
use rhai::packages::Package;
use serde::Deserialize;
use serde::Serialize;

use crate::id::AccountName;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::HourlyPrice;
use crate::quantity::TokenCount;

/// The most operations that one evaluation may take.
pub const MAX_OPERATIONS: u64 = 10_000;
/// The most nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// The largest string, array and map.
const MAX_COLLECTION_SIZE: usize = 4_096;
/// The largest program, in bytes.
pub const MAX_PROGRAM_LENGTH: usize = 16_384;
/// The priority of a request whose policy names none.
pub const DEFAULT_PRIORITY: Priority = Priority(5);
/// The least urgent priority.
const MAX_PRIORITY: i64 = 9;

/// A request's priority; 0 is the most urgent and 9 the least.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Priority {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        text.parse::<i64>()
            .ok()
            .and_then(priority_from_int)
            .ok_or(PolicyError::BadValue("priority"))
    }
}

fn priority_from_int(number: i64) -> Option<Priority> {
    let in_range = (0..=MAX_PRIORITY).contains(&number);
    in_range.then_some(Priority(number as u8))
}

/// What a program is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyQuery {
    /// The client account that asks.
    pub account: AccountName,
    /// The service it asks for.
    pub service: ServiceName,
    /// The availability zones that have backend servers of the service.
    pub zones: Vec<ZoneName>,
    /// The estimated length of the input.
    pub input_tokens: TokenCount,
}

/// What a program decided.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyDecision {
    /// Whether the request may run at all.
    pub allow: bool,
    /// How urgent it is.
    pub priority: Priority,
    /// Where it may run; `None` means in every availability zone.
    pub zones: Option<BTreeSet<ZoneName>>,
    /// The highest price of a VM that it may use.
    pub max_price: Option<HourlyPrice>,
    /// Why, in the words of the program.
    pub reason: String,
}

/// Why a program could not be compiled or evaluated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// The program is longer than [`MAX_PROGRAM_LENGTH`] bytes.
    TooLong(usize),
    /// The program is not valid; the message names line and position.
    Syntax(String),
    /// The program failed or passed a limit; the message names the place.
    Run(String),
    /// The program's value is not a map.
    NotAMap(String),
    /// The program's value has a key that has no meaning.
    UnknownKey(String),
    /// A key of the program's value has a wrong type or range.
    BadValue(&'static str),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(
                f,
                "a program has at most {MAX_PROGRAM_LENGTH} bytes, not {length}"
            ),
            Self::Syntax(message) => write!(f, "syntax error: {message}"),
            Self::Run(message) => write!(f, "evaluation failed: {message}"),
            Self::NotAMap(kind) => write!(f, "the program's value is a {kind}, not a map"),
            Self::UnknownKey(key) => write!(f, "the program's value has an unknown key {key:?}"),
            Self::BadValue(key) => write!(f, "the key {key:?} has a wrong type or range"),
        }
    }
}

impl std::error::Error for PolicyError {}

static ENGINE: LazyLock<Engine> = LazyLock::new(build_engine);

fn build_engine() -> Engine {
    // Packages are chosen one by one: the standard set can read the clock and
    // sleep, so that entries would disagree or a worker would be held.
    let mut engine = Engine::new_raw();
    ArithmeticPackage::new().register_into_engine(&mut engine);
    LogicPackage::new().register_into_engine(&mut engine);
    BasicStringPackage::new().register_into_engine(&mut engine);
    MoreStringPackage::new().register_into_engine(&mut engine);
    BasicIteratorPackage::new().register_into_engine(&mut engine);
    BasicArrayPackage::new().register_into_engine(&mut engine);
    BasicMapPackage::new().register_into_engine(&mut engine);
    BasicMathPackage::new().register_into_engine(&mut engine);
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_string_size(MAX_COLLECTION_SIZE);
    engine.set_max_array_size(MAX_COLLECTION_SIZE);
    engine.set_max_map_size(MAX_COLLECTION_SIZE);
    engine.set_max_expr_depths(32, 32);
    engine.set_max_modules(0);
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine.disable_symbol("eval");
    engine
}

/// A compiled policy program.
#[derive(Clone, Debug)]
pub struct PolicyProgram {
    ast: AST,
}

impl PolicyProgram {
    /// Compiles a program.
    ///
    /// # Errors
    ///
    /// A program that is too long or not valid.
    pub fn compile(text: &str) -> Result<Self, PolicyError> {
        if text.len() > MAX_PROGRAM_LENGTH {
            return Err(PolicyError::TooLong(text.len()));
        }
        let ast = ENGINE
            .compile(text)
            .map_err(|error| PolicyError::Syntax(error.to_string()))?;
        Ok(Self { ast })
    }

    /// Evaluates the program. The same query gives the same decision.
    ///
    /// # Errors
    ///
    /// A program that fails, passes a limit or ends with a wrong value. The
    /// caller refuses the request then.
    pub fn evaluate(&self, query: &PolicyQuery) -> Result<PolicyDecision, PolicyError> {
        let mut scope = query_scope(query);
        let value: Dynamic = ENGINE
            .eval_ast_with_scope(&mut scope, &self.ast)
            .map_err(|error| PolicyError::Run(error.to_string()))?;
        let kind = value.type_name();
        let map = value
            .try_cast::<Map>()
            .ok_or_else(|| PolicyError::NotAMap(kind.to_owned()))?;
        decision_from_map(map)
    }
}

fn query_scope(query: &PolicyQuery) -> Scope<'static> {
    let zones: Array = query
        .zones
        .iter()
        .map(|zone| Dynamic::from(zone.to_string()))
        .collect();
    let mut scope = Scope::new();
    scope.push_constant("account", query.account.to_string());
    scope.push_constant("service", query.service.to_string());
    scope.push_constant("zones", zones);
    scope.push_constant("input_tokens", query.input_tokens.0 as i64);
    scope
}

fn decision_from_map(map: Map) -> Result<PolicyDecision, PolicyError> {
    let mut decision = PolicyDecision {
        allow: true,
        priority: DEFAULT_PRIORITY,
        zones: None,
        max_price: None,
        reason: String::new(),
    };
    for (key, value) in map {
        match key.as_str() {
            "allow" => decision.allow = bool_value(value)?,
            "priority" => decision.priority = priority_value(value)?,
            "zones" => decision.zones = Some(zones_value(value)?),
            "max_price" => decision.max_price = Some(price_value(value)?),
            "reason" => {
                decision.reason = value
                    .into_string()
                    .map_err(|_| PolicyError::BadValue("reason"))?
            }
            other => return Err(PolicyError::UnknownKey(other.to_owned())),
        }
    }
    Ok(decision)
}

fn bool_value(value: Dynamic) -> Result<bool, PolicyError> {
    value.as_bool().map_err(|_| PolicyError::BadValue("allow"))
}

fn priority_value(value: Dynamic) -> Result<Priority, PolicyError> {
    value
        .as_int()
        .ok()
        .and_then(priority_from_int)
        .ok_or(PolicyError::BadValue("priority"))
}

fn zones_value(value: Dynamic) -> Result<BTreeSet<ZoneName>, PolicyError> {
    let error = || PolicyError::BadValue("zones");
    let array = value.into_array().map_err(|_| error())?;
    let parse = |item: Dynamic| -> Result<ZoneName, PolicyError> {
        let text = item.into_string().map_err(|_| error())?;
        text.parse().map_err(|_| error())
    };
    array.into_iter().map(parse).collect()
}

fn price_value(value: Dynamic) -> Result<HourlyPrice, PolicyError> {
    let number = value
        .as_float()
        .or_else(|_| value.as_int().map(|int| int as f64))
        .map_err(|_| PolicyError::BadValue("max_price"))?;
    let valid = number.is_finite() && number >= 0.0;
    valid
        .then_some(HourlyPrice(number))
        .ok_or(PolicyError::BadValue("max_price"))
}
