//! The schema of a configuration file. The reference page is generated from it.

use crate::protocol::schema::Field;
use crate::protocol::schema::Shape;

const PRIORITY: Shape = Shape::Enum(&["low", "normal", "high"]);
const STRINGS: Shape = Shape::List(&Shape::String);

const REGION: Shape = Shape::Object(&[Field::required(
    "failure_domains",
    STRINGS,
    "Names of the region's failure domains.",
)]);

const MODEL: Shape = Shape::Object(&[
    Field::required("pool", Shape::String, "Pool whose backend servers run the model."),
    Field::optional("version", Shape::String, "Version that the engines load. Default: empty."),
    Field::optional("residency", Shape::String, "Residency rule for every request to the model."),
]);

const SERVER: Shape = Shape::Object(&[
    Field::required("region", Shape::String, "Region of the backend server."),
    Field::required("failure_domain", Shape::String, "Failure domain of the backend server."),
    Field::required("address", Shape::String, "IP number and port, such as \"127.0.0.1:9000\"."),
    Field::optional(
        "slots",
        Shape::UnsignedInteger,
        "Maximum number of concurrent requests. Default: 8.",
    ),
    Field::optional(
        "checks_epochs",
        Shape::Boolean,
        "Whether the server rejects orders with an old epoch. Default: false.",
    ),
    Field::optional(
        "leaving",
        Shape::Boolean,
        "Whether to take the server out of service. Default: false.",
    ),
]);

const POOL: Shape = Shape::Object(&[
    Field::required("servers", Shape::Map(&SERVER), "Backend servers by name."),
    Field::optional(
        "queue_limit",
        Shape::UnsignedInteger,
        "Maximum number of queued requests on one box. Default: 256.",
    ),
    Field::optional(
        "queue_bytes",
        Shape::UnsignedInteger,
        "Maximum total size of queued bodies on one box, bytes. Default: 33554432.",
    ),
    Field::optional(
        "lend_share",
        Shape::Number,
        "Share of a region's slots that other regions may use. Default: 0.25.",
    ),
]);

const ROUTE: Shape = Shape::Object(&[
    Field::required("method", Shape::String, "Method, or \"*\"."),
    Field::required("path", Shape::String, "Path prefix, such as \"/filings\"."),
]);

const SERVICE: Shape = Shape::Object(&[
    Field::required("servers", Shape::Map(&SERVER), "Backend servers by name."),
    Field::optional(
        "queue_limit",
        Shape::UnsignedInteger,
        "Maximum number of queued requests on one box. Default: 256.",
    ),
    Field::optional(
        "not_repeatable",
        Shape::List(&ROUTE),
        "Calls that must be executed at most once. Default: none.",
    ),
    Field::optional("residency", Shape::String, "Residency rule for every request to the service."),
]);

const RESIDENCY: Shape =
    Shape::Object(&[Field::required("regions", STRINGS, "Regions that the rule allows.")]);

const TEAM: Shape = Shape::Object(&[
    Field::optional("keys_sha256", STRINGS, "SHA-256 of each of the team's keys, in hex."),
    Field::optional(
        "anonymous",
        Shape::Boolean,
        "Whether requests without a key belong to this team. Default: false.",
    ),
    Field::optional(
        "models",
        STRINGS,
        "Models that the team may use; \"*\" for all. Default: none.",
    ),
    Field::optional(
        "services",
        STRINGS,
        "Services that the team may use; \"*\" for all. Default: none.",
    ),
    Field::optional(
        "max_priority",
        PRIORITY,
        "Highest priority that the team may request. Default: \"normal\".",
    ),
    Field::optional(
        "requests_per_second",
        Shape::Number,
        "Rate limit over all boxes together. Default: 1000000.",
    ),
    Field::optional("residency", Shape::String, "Residency rule for every request of the team."),
]);

const LIMITS: Shape = Shape::Object(&[
    Field::optional(
        "body_bytes",
        Shape::UnsignedInteger,
        "Maximum body size, bytes. Default: 1048576.",
    ),
    Field::optional(
        "default_timeout_ms",
        Shape::UnsignedInteger,
        "Timeout of requests that give none. Default: 60000.",
    ),
    Field::optional(
        "max_timeout_ms",
        Shape::UnsignedInteger,
        "Maximum timeout that a request may give. Default: 600000.",
    ),
    Field::optional(
        "stream_idle_ms",
        Shape::UnsignedInteger,
        "Maximum time without data in a response. Default: 30000.",
    ),
    Field::optional(
        "ticket_life_ms",
        Shape::UnsignedInteger,
        "Time to live of a ticket and of the response kept for it. Default: 900000.",
    ),
]);

const OBJECTIVE: Shape = Shape::Object(&[
    Field::required("pool", Shape::String, "Pool or service whose requests are counted."),
    Field::required(
        "target",
        Shape::Number,
        "Share of requests that should meet the objective, such as 0.95.",
    ),
    Field::required(
        "first_byte_ms",
        Shape::UnsignedInteger,
        "Maximum time to the first byte of a request that meets the objective.",
    ),
]);

/// The schema of a configuration file.
pub const FILE: Shape = Shape::Object(&[
    Field::optional("regions", Shape::Map(&REGION), "Regions by name."),
    Field::optional("models", Shape::Map(&MODEL), "Models by the name that callers use."),
    Field::optional("pools", Shape::Map(&POOL), "Pools of backend servers by name."),
    Field::optional("services", Shape::Map(&SERVICE), "Plain services by name."),
    Field::optional("residency", Shape::Map(&RESIDENCY), "Residency rules by name."),
    Field::optional("teams", Shape::Map(&TEAM), "Teams by name."),
    Field::optional("limits", LIMITS, "Limits on all requests; in one file only."),
    Field::optional("objectives", Shape::Map(&OBJECTIVE), "Service-level objectives by name."),
]);
