//! Divides the room of a class of requests among client accounts.
//!
//! Pure logic: no I/O and no clock. It answers the load pattern of one account that sends
//! many times its usual: by max-min fairness, an account that asks for less than an equal
//! share gets all of it, and the others get the share.

/// The largest demand of one account that counts, as a multiple of the demand of all
/// others together. It bounds the effect of a false report.
const MAX_DOMINANCE: f64 = 1.0;

/// Bounds each demand by the demands of all others together. A single one is unchanged.
pub fn bound_demands(demands: &mut [f64]) {
    let total: f64 = demands.iter().sum();
    if demands.len() < 2 {
        return;
    }
    for demand in demands {
        let others = total - *demand;
        if others > 0.0 {
            *demand = demand.min(others * MAX_DOMINANCE);
        }
    }
}

/// Returns the max-min share: the most that one account gets, such that together they get
/// `room`. Returns `None` if the room suffices for all.
pub fn fair_share(demands: &[f64], room: f64) -> Option<f64> {
    let mut ordered: Vec<f64> = demands.to_vec();
    ordered.sort_by(f64::total_cmp);
    let mut left = room.max(0.0);
    for (index, demand) in ordered.iter().enumerate() {
        let share = left / (ordered.len() - index) as f64;
        if *demand > share {
            return Some(share);
        }
        left -= demand;
    }
    None
}
