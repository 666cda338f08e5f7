//! `workswood model`

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::Result;
use workswood::ops::model::{self, PolicyVariants};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("model")
        .about("Run the scheduler on simulated hosts and jobs, and compare policies")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("model file with the fleet, its load and its faults"),
        )
        .arg(
            Arg::new("vary")
                .long("vary")
                .value_name("FIELD=V1,V2")
                .help("field of the policy, and the values to compare"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..=10_000))
                .default_value("10")
                .help("number of runs of each variant"),
        )
        .arg(
            Arg::new("first-seed")
                .long("first-seed")
                .value_name("SEED")
                .value_parser(value_parser!(u64).range(..=u64::MAX - 10_000))
                .default_value("1")
                .help("seed of the first run; each further run uses the next seed"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("print JSON, including every run"))
        .after_help(
            "Example: workswood model examples/model-turns.json --vary need.turn_share=0,0.8 --seeds 20",
        )
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let spec = model::read(&super::string_arg(args, "file"))?;
    let variants = args.get_one::<String>("vary").map(|text| PolicyVariants::parse(text)).transpose()?;
    let count = args.get_one::<u64>("seeds").copied().unwrap_or(10);
    let first = args.get_one::<u64>("first-seed").copied().unwrap_or(1);
    let comparison = model::run(&spec, variants.as_ref(), first..first + count, |name, seed| {
        workswood::errout!("\r{name}: {} of {count}   ", seed - first + 1);
    })?;
    workswood::errout!("\n");
    if args.get_flag("json") {
        workswood::outln!("{}", comparison.json());
    } else {
        workswood::out!("{}", comparison.table());
    }
    Ok(())
}
