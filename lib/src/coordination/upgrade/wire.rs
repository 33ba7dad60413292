//! Messages about upgrades between boxes.

/// What a box reports to the judges about one plan. The counts are totals since the box learned of
/// the plan, so that a lost report costs nothing and a new judge soon has all of them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpgradeReport {
    /// The plan.
    #[prost(fixed64, tag = "1")]
    pub plan: u64,
    /// Serial number of the plan that the sender follows.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
    /// Requests of the sender in progress on versions that were replaced.
    #[prost(uint32, tag = "3")]
    pub draining: u32,
    /// Responses by stratum and version.
    #[prost(message, repeated, tag = "4")]
    pub cells: Vec<CellReport>,
    /// Servers of the target version with bad responses, worst first.
    #[prost(message, repeated, tag = "5")]
    pub tallies: Vec<TallyReport>,
    /// Boxes that have confirmed this serial number to the sender, a judge, without requests in
    /// progress on replaced versions. Other judges may not hear them.
    #[prost(fixed64, repeated, tag = "6")]
    pub confirmed: Vec<u64>,
}

/// Returns the share of a target version to that of the first stage, because the version is slow in
/// a later one and may be bad. It holds until the plan has a higher serial number.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct UpgradeHold {
    /// The plan.
    #[prost(fixed64, tag = "1")]
    pub plan: u64,
    /// Serial number of the plan that is held.
    #[prost(uint32, tag = "2")]
    pub serial: u32,
}

/// Responses of one stratum and version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CellReport {
    /// The stratum: requests that are comparable.
    #[prost(fixed64, tag = "1")]
    pub stratum: u64,
    /// Whether they came from the target version.
    #[prost(bool, tag = "2")]
    pub is_target: bool,
    /// Responses, in a stratum that counts failures.
    #[prost(uint32, tag = "5")]
    pub responses: u32,
    /// Those of them that were failures.
    #[prost(uint32, tag = "3")]
    pub failed: u32,
    /// Number of responses in each latency class; trailing zeros are left out.
    #[prost(uint32, repeated, tag = "4")]
    pub latencies: Vec<u32>,
}

/// Bad responses of one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TallyReport {
    /// Incarnation of the server.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Bad responses.
    #[prost(uint32, tag = "2")]
    pub bad: u32,
}
