//! Tests of the module `connection_fault`.

use super::*;

#[test]
fn one_in_n_requests_meets_the_faults_in_turn() {
    let faults = vec![ConnectionFault::ResetDuringCall, ConnectionFault::StopServing];
    let plan = FaultPlan { faults, one_in: 3, read_delay: Duration::ZERO };
    let faults_met: Vec<_> = (0..9).map(|n| plan.fault_for(n)).collect();
    let (reset, forget) = (Some(ConnectionFault::ResetDuringCall), Some(ConnectionFault::StopServing));
    assert_eq!(faults_met, [None, None, reset, None, None, forget, None, None, reset]);
}
