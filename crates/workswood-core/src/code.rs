//! Numbered result codes. `workswood explain` and `docs/ERRORS.md` are made from
//! this list.

use serde::{Deserialize, Serialize};

/// Whether the request that an answer belongs to was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// The request ran once.
    Run,
    /// The request did not run, and this copy of it never will.
    NotRun,
    /// The request may have run; it is not run again.
    Unknown,
}

impl ExecutionStatus {
    /// The value of the `x-workswood-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::Run => "run",
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($num:literal $name:ident $text:literal $advice:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// The number that logs, answers and documentation show.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $num,)* }
            }

            /// What happened, in a phrase that starts in lower case.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// What an operator or caller can do about it.
            pub fn advice(self) -> &'static str {
                match self { $(Code::$name => $advice,)* }
            }
        }
    };
}

codes! {
    100 UnknownRoute "no service in force has a route for this path" "check the path and `status`; apply the fleet file that declares the service";
    101 QueueFull "the queue of this service and class is full" "retry after the time in retry-after";
    102 WaitTooLong "waiting for an endpoint would exceed the request's deadline" "retry after the time in retry-after, or allow a later deadline";
    103 DeadlinePassed "the deadline passed while the request was queued" "retry after the time in retry-after";
    104 NoEndpoint "no endpoint of the service can take requests" "check `status` for hosts that are down or under maintenance";
    105 ConnectFailed "could not connect to any endpoint; nothing was sent" "retry; check the hosts of the endpoints";
    106 EndpointBroke "the endpoint closed the connection after the request was sent" "a repeatable request may be retried; for others query the outcome by key";
    107 BodyTooLarge "the request's body is larger than its class allows" "send a smaller body, or use a route of class `long`";
    108 EndpointTimeout "the endpoint did not answer before the deadline" "see code 106";
    109 Stopping "this entry host is stopping and accepts no new requests" "send the request to another entry host";
    110 BodySilent "timed out waiting for the rest of the request's body" "retry, and send the body without long pauses";
    111 TooManyBodies "bodies and connections of callers hold all the memory that they may" "retry after the time in retry-after";
    120 KeyMissing "the route is not repeatable and the request has no key" "send the headers `x-workswood-key` and `x-workswood-last-moment`";
    121 KeyMalformed "the key or the last moment is malformed or out of range" "use a key of 1 to 128 visible characters, and a last moment in milliseconds since 1970 within the window";
    122 KeyConflict "the key is in use for another request or with another last moment" "use a new key for a new request";
    123 KeyRunning "a request with this key is running" "retry later with the same key";
    124 KeyUnknownOutcome "a request with this key was started and its outcome is unknown; it is not run again" "check with the service whether it ran before using another key";
    125 KeyExpired "the last moment of the key has passed" "if the answer says not-run, use a new key; otherwise first check with the service whether it ran";
    126 LogUnavailable "the record that the request needs can't be appended to the platform's log" "retry with the same key";
    127 ClockSkew "the clock of this entry host is behind the log by more than the limit" "correct the clock of the entry host";
    128 PayloadTooLarge "the body of a deferred request is larger than the log accepts" "send the request on a route that is not deferred";
    129 KeyNotFound "no request with this key is known" "check the key; outcomes are kept for a limited time";
    140 JobMalformed "the job is malformed" "use a job number of 16 hex digits and correct the body; see docs/JOBS.md";
    141 JobUnknown "no job with this number is known" "check the number; ended jobs are kept for a limited time";
    142 HolderAway "the process that holds the jobs can't be reached" "retry after the time in retry-after";
    143 OutcomeUnknown "it is not known whether the job was accepted" "retry with the same job number; the job is accepted once";
    144 MethodUnknown "queues do not support this method" "use POST, GET or DELETE";
    145 ApiKey "the call has no API key, or one that is not valid" "send `authorization: Bearer KEY` with a key of your workspace that has not been revoked";
    146 NoRoom "too much work waits for the job to be done in time" "retry after the time in retry-after";
    147 NumberTaken "a job of another workspace has this number" "submit the job under another number";
    148 RecordTooLarge "a record is larger than the platform's store accepts, or is refused by it for good" "submit the job in smaller parts, or save shorter checkpoints; see docs/OPERATIONS.md";
    149 AdviceUnusable "the queue's advice can't be used: its tickets end too soon, or a call takes too long" "correct `advice` of the queue in the configuration; then retry";
    200 FileUnreadable "the file can't be read" "check the path and its permissions";
    201 FileNotJson "the file is not valid JSON" "correct the file at the position that is named";
    202 UnknownField "unknown field" "use the name suggested, or see docs/FLEET.md";
    203 BadValue "a value has the wrong type or is malformed" "see docs/FLEET.md for the field";
    204 OutOfRange "a value is outside its range" "use a value in the range that is named";
    205 DuplicateName "a name is used twice" "rename one of the two";
    206 UnknownName "a reference names nothing that exists" "define it in the same file, or correct the name";
    207 BudgetImpossible "a budget can't be met, or leaves no instance for maintenance" "raise instances or lower min_available";
    208 NotEnoughHosts "the pools of the file need more hosts than it claims" "claim more hosts or lower a pool's size";
    209 PlanImpossible "the maintenance can't finish before its deadline" "use the nearest feasible plan that is named";
    220 StaleBase "another change was accepted first" "review what changed, merge, and apply on the new version";
    221 ClaimedElsewhere "a host or name in the file belongs to another file" "remove it from that file first";
    222 ApplyUnknown "it is not known yet whether the change was accepted" "apply the same file again; it takes effect once";
    223 ApplyNotTaken "the change was not accepted and will not be" "apply again when the log is available";
    224 NotEverywhere "the change is accepted but some entry hosts have not confirmed it" "check the entry hosts that are named; they follow once they are available again";
    225 BadToken "the token is missing or wrong" "use the token from the token file of the listener";
    226 BadRequest "the request is malformed" "see docs/OPERATIONS.md for the calls";
    300 SettingsInvalid "the settings of the process are invalid" "correct the field that is named; see docs/SETTINGS.md";
    301 ListenFailed "can't listen on an address" "check the address, and that no other process uses it";
    302 NotCaughtUp "the entry process has not caught up with the log, and no peer has a state" "wait, or restore the log";
    303 PlatformUnreachable "the platform did not answer" "check the address and the state of the platform";
    304 TooManyFiles "a command was given a wrong number of files" "see `workswood help`";
}
