//! Numbered result codes, the one source of `workswood explain` and
//! `docs/ERRORS.md`.

use serde::{Deserialize, Serialize};

/// Whether the request behind an answer was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// It ran once.
    Run,
    /// It did not run and never will under this attempt.
    NotRun,
    /// It may have run; it is not run again.
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
            /// Every code, by number.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// The number that logs, answers and docs show.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $num,)* }
            }

            /// What happened, in one lower-case sentence.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// What to do about it.
            pub fn advice(self) -> &'static str {
                match self { $(Code::$name => $advice,)* }
            }
        }
    };
}

codes! {
    100 UnknownRoute "no service in force has a route for this path" "check the path and `status`; apply the file that names the service";
    101 QueueFull "the queue of this service and class is full" "come back after the time in retry-after";
    102 WaitTooLong "the wait for an endpoint would pass the request's deadline" "come back after the time in retry-after, or allow a later deadline";
    103 DeadlinePassed "the deadline passed while the request waited" "come back after the time in retry-after";
    104 NoEndpoint "no endpoint of the service can take work" "look at `status` for hosts that are down or under maintenance";
    105 ConnectFailed "no connection to any endpoint tried; nothing was sent" "try again; look at the endpoints' hosts";
    106 EndpointBroke "the endpoint broke off after the request was sent" "a repeatable request may be sent again; for others ask for the outcome by key";
    107 BodyTooLarge "the request's body is larger than the class allows" "send less, or use a route of class `long`";
    108 EndpointTimeout "the endpoint did not answer before the deadline" "as for code 106";
    109 Stopping "this entry host is stopping and takes no new requests" "send the request to another entry host";
    110 BodySilent "the request's body stopped before its end: no byte of it came for too long" "send the request again, without such a pause in its body";
    120 KeyMissing "the route may not be repeated and the request names no key" "send the headers `x-workswood-key` and `x-workswood-last-moment`";
    121 KeyMalformed "the key or the last moment can't be read or is out of range" "use 1 to 128 visible characters and milliseconds since 1970 within the window";
    122 KeyConflict "the key is known with another request or last moment" "use a new key for a new request";
    123 KeyRunning "a request with this key is running" "ask again later with the same key";
    124 KeyUnknownOutcome "a request with this key was started and its outcome is not known; it is not run again" "reconcile with the service before using another key";
    125 KeyExpired "the last moment of the key has passed" "if the answer says not-run, use a new key; otherwise reconcile first";
    126 LogUnavailable "the platform's log can't take the record that the request needs" "try again with the same key";
    127 ClockSkew "the clock of this entry host is behind the log by more than the bound" "set the clock of the entry host";
    128 PayloadTooLarge "a deferred request's body is larger than the log may hold" "send it on a route that runs while the caller waits";
    129 KeyNotFound "no request with this key is known" "check the key; outcomes are kept for a limited time";
    140 JobMalformed "the job can't be read" "name it by 16 hex digits and mend the body; see docs/JOBS.md";
    141 JobUnknown "no such job is known" "check the number; ended jobs are kept for a limited time";
    142 HolderAway "the process that knows the jobs can't be asked now" "come back after the time in retry-after";
    143 OutcomeUnknown "the store did not answer: the request may have been accepted" "send the same job number again; it stays one job";
    144 MethodUnknown "the method is not one that queues know" "use POST, GET or DELETE";
    145 ApiKey "the call carries no key, or none that is in force" "send `authorization: Bearer KEY` with a key of your workspace that its operators have not taken away";
    200 FileUnreadable "the file can't be read" "check the path and its permissions";
    201 FileNotJson "the file is not valid JSON" "mend the place named";
    202 UnknownField "a field is not known" "use the name suggested, or see docs/FLEET.md";
    203 BadValue "a value has the wrong type or can't be read" "see docs/FLEET.md for the field";
    204 OutOfRange "a value is outside its range" "use a value in the range named";
    205 DuplicateName "a name stands twice" "rename one of the two";
    206 UnknownName "a reference names nothing that exists" "define it in the same file, or mend the name";
    207 BudgetImpossible "a budget can never hold, or can never allow maintenance" "raise instances or lower min_available";
    208 NotEnoughHosts "the pools of the file need more hosts than it claims" "claim more hosts or lower a pool's size";
    209 PlanImpossible "the maintenance can't finish before its deadline" "use the nearest plan that is named";
    220 StaleBase "another change was accepted first" "read what changed, merge, and apply on the new version";
    221 ClaimedElsewhere "a name or host in the file belongs to another file" "release it there first";
    222 ApplyUnknown "it is not known yet whether the change was accepted" "apply the same file again: it takes effect once";
    223 ApplyNotTaken "the change was not accepted and will not be" "apply again when the log is back";
    224 NotEverywhere "the change is accepted but some entry hosts have not confirmed it" "see which ones are named; they follow when they are back";
    225 BadToken "the token is missing or wrong" "use the token file of the listener";
    226 BadRequest "the request can't be read" "see docs/OPERATIONS.md for the calls";
    300 SettingsInvalid "the settings of the process are not usable" "mend the field named; see docs/SETTINGS.md";
    301 ListenFailed "an address can't be listened on" "check the address and that nothing else uses it";
    302 NotCaughtUp "the entry has not caught up with the log and no peer has state" "wait, or bring the log back";
    303 PlatformUnreachable "the platform did not answer" "check the platform's address and its state";
    304 TooManyFiles "a command got a wrong number of files" "see `workswood help`";
}
