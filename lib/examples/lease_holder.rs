//! A task that at most one of several processes performs at a time, fenced by an epoch. It needs
//! only a clock and a store that grants leases. In this example the store is a variable and the
//! time is simulated.

use std::time::Duration;
use std::time::Instant;

use copperweir_lib::coordination::lease::Action;
use copperweir_lib::coordination::lease::Event;
use copperweir_lib::coordination::lease::LeaseClient;
use copperweir_lib::coordination::lease::Timing;

fn main() {
    let timing = Timing::default();
    let mut clients = [LeaseClient::new(timing), LeaseClient::new(timing)];
    let mut now = Instant::now();
    let mut stored_lease: Option<(usize, Instant)> = None;
    let mut epoch = 0;
    for second in 0..30 {
        now += Duration::from_secs(1);
        stored_lease = stored_lease.filter(|(_, until)| now < *until);
        for (index, client) in clients.iter_mut().enumerate() {
            // The first process freezes after ten seconds.
            if index == 0 && second >= 10 {
                continue;
            }
            for action in client.handle(Event::Tick(now)) {
                let event = match action {
                    Action::Acquire if stored_lease.is_none() => {
                        epoch += 1;
                        stored_lease = Some((index, now + timing.ttl));
                        Event::Acquired { epoch, asked_at: now }
                    }
                    Action::Acquire => Event::AcquireFailed(now),
                    Action::Renew => {
                        stored_lease = Some((index, now + timing.ttl));
                        Event::Renewed { asked_at: now }
                    }
                    Action::StartLeading(_) | Action::StopLeading(_) => continue,
                };
                client.handle(event);
            }
        }
        let epochs: Vec<_> = clients.iter().map(|client| client.epoch(now)).collect();
        assert!(epochs.iter().flatten().count() <= 1, "two processes hold the lease");
        println!("second {second}: {epochs:?}");
    }
    assert_eq!(clients[1].epoch(now), Some(2), "the second process took over");
}
