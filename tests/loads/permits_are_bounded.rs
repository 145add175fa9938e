//! Guards against permits beyond a limit at one issuer, and against questions for permits
//! that cost more than a VM may spend.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    rate_limit::{
        IssuedShare, IssuerAuthority, NamedLimit, PermitAnswer, PermitIssuer, PermitQuery, Purpose,
        QuestionBudget, RateLimit, issued_share,
    },
};

use super::limits_hold_over_vms::{MAX_WAIT_MS, PERMIT_BYTES, as_f64};

fn query(purpose: Purpose) -> PermitQuery {
    PermitQuery {
        endpoint: "endpoint-1".into(),
        incarnation: 1,
        data_centre: "dc-1".into(),
        limit: RateLimit::new(2.0).expect("positive"),
        limit_age_ms: 0,
        sent_without_permit: 0,
        purpose,
        max_wait_ms: 0,
    }
}

fn is_granted(answer: PermitAnswer) -> bool {
    matches!(answer, PermitAnswer::Granted { .. })
}

/// Guards against score calls that leave callers no permits.
#[test]
fn score_calls_leave_permits_to_callers() {
    let mut issuer = PermitIssuer::default();
    let mut callers = 0;
    for now_ms in (0..20_000).step_by(10) {
        issuer.issue(now_ms, &query(Purpose::Score), IssuedShare::Whole);
        if now_ms % 1_000 == 500 {
            let caller = PermitQuery {
                max_wait_ms: MAX_WAIT_MS * 4,
                ..query(Purpose::Caller)
            };
            let answer = issuer.issue(now_ms, &caller, IssuedShare::Whole);
            callers += usize::from(is_granted(answer));
        }
    }
    assert_eq!(callers, 20);
}

/// Guards against a bucket that keeps an old limit, or takes an older one for newer.
#[test]
fn the_newest_limit_applies() {
    let mut issuer = PermitIssuer::default();
    let slow = PermitQuery {
        limit: RateLimit::new(0.5).expect("positive"),
        ..query(Purpose::Caller)
    };
    let old = PermitQuery {
        limit_age_ms: 5_000,
        ..query(Purpose::Caller)
    };
    let mut granted = 0;
    for now_ms in (6_000..16_000).step_by(100) {
        granted += usize::from(is_granted(issuer.issue(now_ms, &slow, IssuedShare::Whole)));
        granted += usize::from(is_granted(issuer.issue(now_ms, &old, IssuedShare::Whole)));
    }
    assert!((5..=7).contains(&granted), "{granted}");
}

/// Guards against an endpoint that starts anew and is held to what was owed before.
#[test]
fn a_new_incarnation_has_a_bucket_of_its_own() {
    let mut issuer = PermitIssuer::default();
    let owing = PermitQuery {
        sent_without_permit: 40,
        ..query(Purpose::Caller)
    };
    assert!(!is_granted(issuer.issue(0, &owing, IssuedShare::Whole)));
    let restarted = PermitQuery {
        incarnation: 2,
        ..query(Purpose::Caller)
    };
    assert!(is_granted(issuer.issue(0, &restarted, IssuedShare::Whole)));
}

/// Guards against two VMs that each issue the whole limit.
#[test]
fn a_vm_that_joins_waits_before_it_issues_the_whole_limit() {
    let mut authority = IssuerAuthority::default();
    let mut fresh = BTreeSet::new();
    for now_ms in (0..10_000).step_by(100) {
        if now_ms % 1_000 == 0 && now_ms != 6_000 && now_ms != 7_000 && now_ms != 8_000 {
            authority.on_row_written(now_ms, now_ms);
            authority.on_roster_read(now_ms);
        }
        if authority.is_fresh(now_ms) {
            fresh.insert(now_ms);
        }
    }
    assert_eq!(fresh.first(), Some(&3_000));
    assert_eq!(fresh.last(), Some(&7_400));
    let vms: [Name; 2] = ["vm-1".into(), "vm-2".into()];
    assert_eq!(issued_share("vm-1", &vms, true), Some(IssuedShare::Whole));
    assert_eq!(
        issued_share("vm-1", &vms, false),
        Some(IssuedShare::Reduced)
    );
    assert_eq!(issued_share("vm-2", &vms, true), Some(IssuedShare::Reduced));
    assert_eq!(issued_share("vm-3", &vms, true), None);
}

/// Guards against score calls that wait for limited endpoints at each VM of the planned
/// size and ask in vain, and against limits that are left unused for fear of this.
#[test]
fn waiting_score_calls_cost_a_bounded_number_of_questions() {
    const VMS: usize = 360;
    const ENDPOINTS: usize = 100;
    const END_S: u32 = 10;
    let mut issuers = vec![PermitIssuer::default(); ENDPOINTS];
    let mut limits = vec![[NamedLimit::default(); ENDPOINTS]; VMS];
    let mut budgets = [QuestionBudget::default(); VMS];
    let query = query(Purpose::Score);
    let (mut granted, mut asked) = (0_u32, 0_u32);
    for now_ms in (0..u64::from(END_S) * 1_000).step_by(15) {
        for (vm, (limits, budget)) in limits.iter_mut().zip(&mut budgets).enumerate() {
            for turn in 0..ENDPOINTS {
                let endpoint = (vm * 7 + turn) % ENDPOINTS;
                let known = &mut limits[endpoint];
                if now_ms == 0 {
                    known.on_named(0, query.limit, true);
                }
                if !known.allows(now_ms, Purpose::Score) {
                    continue;
                }
                if !budget.take(now_ms) {
                    known.on_denied(now_ms + 100);
                    continue;
                }
                asked += 1;
                match issuers[endpoint].issue(now_ms, &query, IssuedShare::Whole) {
                    PermitAnswer::Granted { .. } => granted += 1,
                    PermitAnswer::Denied { retry_after_ms, .. } => {
                        known.on_denied(now_ms + retry_after_ms);
                    }
                    PermitAnswer::NotIssuer => {}
                }
            }
        }
    }
    let used = f64::from(granted) / (query.limit.per_s() * f64::from(END_S) * as_f64(ENDPOINTS));
    let per_vm_and_s = f64::from(asked) / as_f64(VMS) / f64::from(END_S);
    println!("use {used:.2}, {per_vm_and_s:.1} questions a VM and second");
    assert!(used >= 0.9, "{used}");
    // Each question costs its sender and, on average, one receiver.
    assert!(
        per_vm_and_s * PERMIT_BYTES * 2.0 < 15_000.0,
        "{per_vm_and_s}"
    );
}
