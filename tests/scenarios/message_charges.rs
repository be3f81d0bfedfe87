//! What orders cost of the proxies' message budgets, once it is known which proxies their call has reached.

use super::*;

const CAP: usize = 12;

/// Two zones with a table and a proxy each, whose messages of the start have left the window.
fn quiet_harness() -> Harness {
    let mut harness = Harness::with_two_proxies(deployment_with_zone_price(), 30);
    harness.advance(120);
    harness.messages.clear();
    harness
}

/// Drains an endpoint of a zone. Returns the nonce of the withdrawal, if it is ordered at once.
fn drain(harness: &mut Harness, endpoint: u32) -> Option<Nonce> {
    // Endpoints are assigned ten times a second at most.
    harness.now += 110 * MS;
    let state = EndpointState::Draining;
    let update = EndpointUpdate { state, ..endpoint_update(endpoint, endpoint % 2) };
    let orders = harness.assigner.update_endpoints(harness.now, false, &[update]);
    let is_ordered = orders.weights.iter().any(|order| order.endpoint == EndpointId(endpoint));
    let nonce = orders.nonce;
    harness.apply(orders);
    nonce.filter(|_| is_ordered)
}

/// Drains one endpoint of zone 0 after the other until a withdrawal has to wait. Returns how many did not.
fn drains_until_one_waits(harness: &mut Harness) -> usize {
    (0..30).step_by(2).take_while(|&endpoint| drain(harness, endpoint).is_some()).count()
}

/// A call reached no proxy of a table, or only those of another one. Its messages were kept as used up.
#[test]
fn only_proxies_that_a_call_may_have_reached_are_charged() {
    let unspaced = drains_until_one_waits(&mut quiet_harness());
    assert_eq!(unspaced, CAP / 2);
    for (reached, refunded) in
        [(vec![], 1), (vec![TableId(1)], 1), (vec![TableId(0)], 0), (vec![TableId(0), TableId(1)], 0)]
    {
        let mut harness = quiet_harness();
        for endpoint in [20, 22, 24] {
            let nonce = drain(&mut harness, endpoint).expect("a withdrawal");
            let reached: BTreeSet<Recipients> =
                reached.iter().map(|table| Recipients::Table(*table)).collect();
            assert_eq!(harness.assigner.call_finished(&[nonce], &reached), refunded, "{reached:?}");
        }
        let left = if refunded > 0 { unspaced } else { unspaced - 3 };
        assert_eq!(drains_until_one_waits(&mut harness), left, "{reached:?}");
    }
}

/// A call was under way, and the next one carried the orders of three times. It was charged as three messages.
#[test]
fn orders_of_several_times_in_one_call_are_one_message() {
    let mut harness = quiet_harness();
    let nonces: Vec<Nonce> = [20, 22, 24].iter().filter_map(|e| drain(&mut harness, *e)).collect();
    assert_eq!(nonces.len(), 3);
    let reached = BTreeSet::from([Recipients::Table(TableId(0))]);
    assert_eq!(harness.assigner.call_finished(&nonces, &reached), 2);
    assert_eq!(drains_until_one_waits(&mut harness), CAP / 2 - 1);
}

/// Orders that did not fit into their call, or were behind a rejected one, were sent whatever their proxies had got, and so
/// were orders that the relay had rejected.
#[test]
fn orders_that_are_sent_later_than_others_of_their_nonce_keep_to_the_message_limit() {
    let extra = |budget| ExtraOrder { recipients: Recipients::Table(TableId(0)), budget };
    let admitted = |harness: &mut Harness, budget| {
        harness.now += 10 * MS;
        let admission = harness.assigner.admit_extra_orders(harness.now, &[extra(budget), extra(budget)]);
        assert_eq!(admission.is_admitted[0], admission.is_admitted[1], "both are one message");
        assert_eq!(admission.nonce.is_some(), admission.is_admitted[0]);
        admission.is_admitted[0]
    };
    let mut harness = quiet_harness();
    let retries = (0..20).take_while(|_| admitted(&mut harness, ExtraMessageBudget::Retry)).count();
    assert_eq!(retries, CAP / 2, "a retry leaves drains their messages");
    let rest = (0..20).take_while(|_| admitted(&mut harness, ExtraMessageBudget::RestOfCall)).count();
    assert_eq!(retries + rest, CAP);
    assert!(admitted(&mut harness, ExtraMessageBudget::Required));
    // A proxy that was not bound by the first part of a call is charged for its binding.
    harness.join(5, 1);
    let lines = harness.assigner.unacknowledged_lines();
    let binding =
        ExtraOrder { recipients: Recipients::Proxy(ProxyId(5)), budget: ExtraMessageBudget::RestOfCall };
    harness.now += 10 * MS;
    assert_eq!(harness.assigner.admit_extra_orders(harness.now, &[binding]).is_admitted, [true]);
    assert!(harness.assigner.unacknowledged_lines() > lines);
}
