//! The search of a box that starts for another box that has the state.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::coordination::unlisted::Neighbor;
use crate::gateway::state_transfer;
use crate::gateway::state_transfer::CompressedState;
use crate::gateway::state_transfer::FetchedState;
use crate::gateway::state_transfer::StartResponse;
use crate::protocol::fleet::FailureDomainId;
use crate::state::clock;
use crate::transport::backend;
use crate::transport::timer;

/// Maximum time of a search while a seed responds. The seed may read the store over many round
/// trips to another region.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum wait for a box that a seed has named to get the state itself.
const REFERRAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before a box of the same failure domain is asked again.
const REFERRAL_PAUSE: Duration = Duration::from_millis(30);
/// Pause before a seed is asked again.
const SEED_PAUSE: Duration = Duration::from_millis(100);
/// Delay before the next seed is asked in parallel: longer than a round trip to the farthest
/// region.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(250);

/// A search for the state.
#[derive(Clone)]
pub struct Search {
    /// Client for other boxes.
    pub client: backend::Client,
    /// The seeds, most preferred first.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of this box and the address at which it hands the state on; `None` for a
    /// seed, which others don't wait for.
    pub join: Option<(FailureDomainId, SocketAddr)>,
    /// The entry by which other boxes know this one.
    pub requester: Neighbor,
}

/// A state that was found.
#[derive(Debug)]
pub struct Found {
    /// The state.
    pub state: FetchedState,
    /// The same, to hand on; `None` if it came uncompressed.
    pub compressed: Option<CompressedState>,
}

impl Search {
    /// Searches until there is a state. Returns `None` if no seed responds, or none of them has a
    /// state for too long.
    pub async fn run(&self) -> Option<Found> {
        let deadline = clock::now() + SEARCH_TIMEOUT;
        while clock::now() < deadline {
            match self.ask_seeds().await? {
                StartResponse::State(state, compressed) => {
                    return Some(Found { state: *state, compressed });
                }
                StartResponse::Referrals(boxes) => {
                    if let Some(found) = self.ask_boxes(&boxes).await {
                        return Some(found);
                    }
                }
                StartResponse::NoState => timer::sleep(SEED_PAUSE).await,
            }
        }
        None
    }

    /// The first response of a seed; `None` if none responds.
    async fn ask_seeds(&self) -> Option<StartResponse> {
        let mut seeds = self.seeds.iter().copied();
        let mut pending = JoinSet::new();
        loop {
            if let Some(seed) = seeds.next() {
                let (search, join) = (self.clone(), self.join.clone());
                pending.spawn(async move { search.ask(seed, join).await });
            }
            match timer::timeout(NEXT_SEED_DELAY, pending.join_next()).await {
                Ok(Some(Ok(Some(response)))) => return Some(response),
                Ok(Some(Err(error))) => log::error!("event=question_failed error=\"{error}\""),
                Ok(None) => return None,
                Ok(Some(Ok(None))) | Err(_) => {}
            }
        }
    }

    /// Asks the boxes that a seed has named, until one of them has the state.
    async fn ask_boxes(&self, boxes: &[SocketAddr]) -> Option<Found> {
        let deadline = clock::now() + REFERRAL_TIMEOUT;
        for address in boxes {
            while clock::now() < deadline {
                match self.ask(*address, None).await {
                    Some(StartResponse::State(state, compressed)) => {
                        return Some(Found { state: *state, compressed });
                    }
                    Some(_) => timer::sleep(REFERRAL_PAUSE).await,
                    None => break,
                }
            }
        }
        None
    }

    async fn ask(
        &self,
        address: SocketAddr,
        join: Option<(FailureDomainId, SocketAddr)>,
    ) -> Option<StartResponse> {
        let join = join.as_ref().map(|(domain, handover)| (domain.as_str(), *handover));
        let response =
            state_transfer::request_start(&self.client, address, join, &self.requester).await;
        let log = |error: &String| {
            log::info!("event=state_not_told by={address} error=\"{error}\"");
        };
        response.inspect_err(log).ok()
    }
}
