//! Validates configuration files and builds a [`Configuration`], reporting all problems at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Configuration;
use super::Limits;
use super::Model;
use super::Objective;
use super::Pool;
use super::Priority;
use super::Route;
use super::Server;
use super::Service;
use super::Team;
use super::raw;
use super::shape;
use crate::protocol::NameHash;
use crate::protocol::jsonc::Document;
use crate::protocol::jsonc::Problem;
use crate::protocol::jsonc::Problems;
use crate::protocol::name_hash;
use crate::protocol::schema::suggestion;

const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_QUEUE_LIMIT: usize = 256;
const DEFAULT_QUEUE_BYTES: usize = 32 << 20;
const DEFAULT_LEND_SHARE: f64 = 0.25;
const DEFAULT_REQUESTS_PER_SECOND: f64 = 1_000_000.0;
const SHA256_HEX_DIGITS: usize = 64;
const NAME_HASH_COLLISION: &str =
    "the name has the same short hash as another one; choose another name";

/// The text of each file by its name.
pub type Files = BTreeMap<String, String>;

impl TryFrom<&Files> for Configuration {
    type Error = Problems;

    fn try_from(files: &Files) -> Result<Configuration, Problems> {
        let mut checker = Checker::default();
        let mut parsed = Vec::new();
        for (name, text) in files {
            match Document::parse(name, text) {
                Err(problem) => checker.problems.push(problem),
                Ok(document) => parsed.push(document),
            }
        }
        let mut raw_files = Vec::new();
        for document in &parsed {
            let problems = shape::FILE.validate(document);
            if !problems.is_empty() {
                checker.problems.extend(problems);
                continue;
            }
            match serde_json::from_value::<raw::File>(document.to_json()) {
                Ok(raw) => raw_files.push((document, raw)),
                Err(error) => checker.problems.push(document.problem(&[], error.to_string(), None)),
            }
        }
        if checker.problems.is_empty() {
            checker.check(&raw_files);
        }
        if checker.problems.is_empty() {
            Ok(checker.configuration)
        } else {
            Err(Problems(checker.problems))
        }
    }
}

type Parsed<'a> = (&'a Document<'a>, raw::File);

#[derive(Default)]
struct Checker {
    configuration: Configuration,
    server_names: BTreeSet<String>,
    server_hashes: BTreeSet<NameHash>,
    team_hashes: BTreeSet<NameHash>,
    limits_seen: bool,
    problems: Vec<Problem>,
}

impl Checker {
    /// Checks each kind of item in all files before the kinds that refer to it.
    fn check(&mut self, files: &[Parsed<'_>]) {
        for (document, raw) in files {
            self.check_regions(document, raw);
        }
        for (document, raw) in files {
            self.check_residency(document, raw);
        }
        for (document, raw) in files {
            self.check_pools(document, raw);
            self.check_services(document, raw);
            self.check_limits(document, raw);
        }
        for (document, raw) in files {
            self.check_models(document, raw);
            self.check_objectives(document, raw);
        }
        for (document, raw) in files {
            self.check_teams(document, raw);
        }
    }

    fn report(&mut self, document: &Document<'_>, path: &[&str], message: impl Into<String>) {
        self.problems.push(document.problem(path, message, None));
    }

    fn report_duplicate(&mut self, document: &Document<'_>, path: &[&str]) {
        self.report(document, path, "the name is already declared elsewhere");
    }

    fn report_undeclared<'a>(
        &mut self,
        document: &Document<'_>,
        path: &[&str],
        kind: &str,
        name: &str,
        declared: impl Iterator<Item = &'a str>,
    ) {
        let hint = suggestion(name, declared);
        let message = format!("{kind} \"{name}\" is not declared");
        self.problems.push(document.problem(path, message, hint));
    }

    fn check_regions(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, region) in &raw.regions {
            let domains = region.failure_domains.iter().cloned().collect::<BTreeSet<_>>();
            if domains.is_empty() {
                self.report(
                    document,
                    &["regions", name, "failure_domains"],
                    "expected at least one failure domain",
                );
            }
            if self.configuration.regions.insert(name.clone(), domains).is_some() {
                self.report_duplicate(document, &["regions", name]);
            }
        }
    }

    fn check_residency(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, rule) in &raw.residency {
            let path = ["residency", name.as_str(), "regions"];
            if rule.regions.is_empty() {
                self.report(document, &path, "expected at least one region");
            }
            for region in &rule.regions {
                self.require_region(document, &path, region);
            }
            let regions = rule.regions.iter().cloned().collect();
            if self.configuration.residency.insert(name.clone(), regions).is_some() {
                self.report_duplicate(document, &["residency", name]);
            }
        }
    }

    fn require_region(&mut self, document: &Document<'_>, path: &[&str], region: &str) {
        if !self.configuration.regions.contains_key(region) {
            let declared: Vec<String> = self.configuration.regions.keys().cloned().collect();
            self.report_undeclared(
                document,
                path,
                "region",
                region,
                declared.iter().map(String::as_str),
            );
        }
    }

    fn require_residency_rule(
        &mut self,
        document: &Document<'_>,
        path: &[&str],
        rule: Option<&String>,
    ) {
        let Some(rule) = rule else { return };
        if !self.configuration.residency.contains_key(rule) {
            let declared: Vec<String> = self.configuration.residency.keys().cloned().collect();
            self.report_undeclared(
                document,
                path,
                "residency rule",
                rule,
                declared.iter().map(String::as_str),
            );
        }
    }

    fn check_pools(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, pool) in &raw.pools {
            let lend_share = pool.lend_share.unwrap_or(DEFAULT_LEND_SHARE);
            if !(0.0..=1.0).contains(&lend_share) {
                self.report(document, &["pools", name, "lend_share"], "expected 0 to 1");
            }
            let checked = Pool {
                servers: self.check_servers(document, ["pools", name, "servers"], &pool.servers),
                queue_limit: pool.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT),
                queue_bytes: pool.queue_bytes.unwrap_or(DEFAULT_QUEUE_BYTES),
                lend_share,
            };
            if self.configuration.pools.insert(name.clone(), checked).is_some() {
                self.report_duplicate(document, &["pools", name]);
            }
        }
    }

    fn check_services(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, service) in &raw.services {
            self.require_residency_rule(
                document,
                &["services", name, "residency"],
                service.residency.as_ref(),
            );
            let pool = Pool {
                servers: self.check_servers(
                    document,
                    ["services", name, "servers"],
                    &service.servers,
                ),
                queue_limit: service.queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT),
                queue_bytes: DEFAULT_QUEUE_BYTES,
                lend_share: 1.0,
            };
            let routes = service
                .not_repeatable
                .iter()
                .map(|route| Route { method: route.method.clone(), path: route.path.clone() });
            let checked =
                Service { not_repeatable: routes.collect(), residency: service.residency.clone() };
            if self.configuration.pools.insert(name.clone(), pool).is_some() {
                self.report_duplicate(document, &["services", name]);
            }
            self.configuration.services.insert(name.clone(), checked);
        }
    }

    fn check_servers(
        &mut self,
        document: &Document<'_>,
        path: [&str; 3],
        servers: &BTreeMap<String, raw::Server>,
    ) -> BTreeMap<String, Server> {
        let mut checked = BTreeMap::new();
        for (name, server) in servers {
            let field_path = |field| [path[0], path[1], path[2], name.as_str(), field];
            if !self.server_names.insert(name.clone()) {
                self.report_duplicate(document, &field_path("region")[..4]);
            } else if !self.server_hashes.insert(name_hash(name)) {
                self.report(document, &field_path("region")[..4], NAME_HASH_COLLISION);
            }
            self.require_region(document, &field_path("region"), &server.region);
            let domains = self.configuration.regions.get(&server.region);
            if domains.is_some_and(|domains| !domains.contains(&server.failure_domain)) {
                let message = format!(
                    "region \"{}\" has no failure domain \"{}\"",
                    server.region, server.failure_domain
                );
                self.report(document, &field_path("failure_domain"), message);
            }
            if server.slots == Some(0) {
                self.report(document, &field_path("slots"), "expected a whole number from 1");
            }
            let Ok(address) = server.address.parse::<SocketAddr>() else {
                self.report(
                    document,
                    &field_path("address"),
                    "expected an IP number and port, such as \"127.0.0.1:9000\"",
                );
                continue;
            };
            let server = Server {
                region: server.region.clone(),
                failure_domain: server.failure_domain.clone(),
                address,
                slots: server.slots.unwrap_or(DEFAULT_SLOTS),
                checks_epochs: server.checks_epochs,
                leaving: server.leaving,
            };
            checked.insert(name.clone(), server);
        }
        checked
    }

    fn check_models(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, model) in &raw.models {
            self.require_pool(document, &["models", name, "pool"], &model.pool);
            self.require_residency_rule(
                document,
                &["models", name, "residency"],
                model.residency.as_ref(),
            );
            let checked = Model {
                pool: model.pool.clone(),
                version: model.version.clone(),
                residency: model.residency.clone(),
            };
            if self.configuration.models.insert(name.clone(), checked).is_some() {
                self.report_duplicate(document, &["models", name]);
            }
        }
    }

    fn require_pool(&mut self, document: &Document<'_>, path: &[&str], pool: &str) {
        if !self.configuration.pools.contains_key(pool) {
            let declared: Vec<String> = self.configuration.pools.keys().cloned().collect();
            self.report_undeclared(
                document,
                path,
                "pool",
                pool,
                declared.iter().map(String::as_str),
            );
        }
    }

    fn check_objectives(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, objective) in &raw.objectives {
            self.require_pool(document, &["objectives", name, "pool"], &objective.pool);
            if !(0.0..1.0).contains(&objective.target) {
                let message = "expected a share from 0 to below 1, such as 0.95";
                self.report(document, &["objectives", name, "target"], message);
            }
            let checked = Objective {
                pool: objective.pool.clone(),
                target: objective.target,
                first_byte: Duration::from_millis(objective.first_byte_ms),
            };
            if self.configuration.objectives.insert(name.clone(), checked).is_some() {
                self.report_duplicate(document, &["objectives", name]);
            }
        }
    }

    fn check_limits(&mut self, document: &Document<'_>, raw: &raw::File) {
        let Some(limits) = &raw.limits else { return };
        if std::mem::replace(&mut self.limits_seen, true) {
            self.report(document, &["limits"], "limits are already declared in another file");
        }
        let millis = |value: Option<u64>, default| value.map_or(default, Duration::from_millis);
        let defaults = Limits::default();
        let checked = Limits {
            max_body_bytes: limits.body_bytes.unwrap_or(defaults.max_body_bytes),
            default_timeout: millis(limits.default_timeout_ms, defaults.default_timeout),
            max_timeout: millis(limits.max_timeout_ms, defaults.max_timeout),
            stream_idle_timeout: millis(limits.stream_idle_ms, defaults.stream_idle_timeout),
            ticket_ttl: millis(limits.ticket_life_ms, defaults.ticket_ttl),
        };
        if checked.default_timeout > checked.max_timeout {
            let message = "default_timeout_ms is over max_timeout_ms";
            self.report(document, &["limits", "default_timeout_ms"], message);
        }
        if checked.ticket_ttl < checked.max_timeout {
            let message =
                "ticket_life_ms is under max_timeout_ms; a ticket must outlive its request";
            self.report(document, &["limits", "ticket_life_ms"], message);
        }
        self.configuration.limits = checked;
    }

    fn check_teams(&mut self, document: &Document<'_>, raw: &raw::File) {
        for (name, team) in &raw.teams {
            if !self.team_hashes.insert(name_hash(name)) {
                self.report(document, &["teams", name], NAME_HASH_COLLISION);
            }
            self.check_team_access(document, name, team);
            self.check_team_keys(document, name, team);
            self.require_residency_rule(
                document,
                &["teams", name, "residency"],
                team.residency.as_ref(),
            );
            let rate = team.requests_per_second.unwrap_or(DEFAULT_REQUESTS_PER_SECOND);
            if !(rate > 0.0 && rate.is_finite()) {
                let path = ["teams", name, "requests_per_second"];
                self.report(document, &path, "expected a number over 0");
            }
            let priority = team.max_priority.as_deref().and_then(Priority::parse);
            let checked = Team {
                models: team.models.iter().cloned().collect(),
                services: team.services.iter().cloned().collect(),
                max_priority: priority.unwrap_or_default(),
                requests_per_second: rate,
                residency: team.residency.clone(),
            };
            if self.configuration.teams.insert(name.clone(), checked).is_some() {
                self.report_duplicate(document, &["teams", name]);
            }
        }
    }

    fn check_team_access(&mut self, document: &Document<'_>, name: &str, team: &raw::Team) {
        let models: Vec<String> = self.configuration.models.keys().cloned().collect();
        for model in team.models.iter().filter(|model| *model != "*" && !models.contains(model)) {
            let declared = models.iter().map(String::as_str);
            self.report_undeclared(document, &["teams", name, "models"], "model", model, declared);
        }
        let services: Vec<String> = self.configuration.services.keys().cloned().collect();
        let undeclared = |service: &&String| *service != "*" && !services.contains(service);
        for service in team.services.iter().filter(undeclared) {
            let declared = services.iter().map(String::as_str);
            self.report_undeclared(
                document,
                &["teams", name, "services"],
                "service",
                service,
                declared,
            );
        }
    }

    fn check_team_keys(&mut self, document: &Document<'_>, name: &str, team: &raw::Team) {
        let path = ["teams", name, "keys_sha256"];
        for key in &team.keys_sha256 {
            let is_hex = key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
            if key.len() != SHA256_HEX_DIGITS || !is_hex {
                self.report(document, &path, "expected 64 lower-case hex digits");
            }
            if self.configuration.keys.insert(key.clone(), name.to_owned()).is_some() {
                self.report(document, &path, "the key belongs to another team too");
            }
        }
        if team.anonymous && self.configuration.anonymous.replace(name.to_owned()).is_some() {
            let message = "another team already accepts requests without a key";
            self.report(document, &["teams", name, "anonymous"], message);
        }
    }
}
