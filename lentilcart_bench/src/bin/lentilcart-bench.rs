//! Stand-ins and experiments of lentilcart.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use lentilcart_bench::cluster::{Variant, get_firm};
use lentilcart_bench::demo::demo;
use lentilcart_bench::model::{Load, World, play};
use lentilcart_bench::platform::PlatformStub;
use lentilcart_bench::report::{plot, table};
use lentilcart_bench::scenario::{
    Experiment, SCENARIOS, VARIANTS, experiment, force, get_scenario, get_variant, overhead, slopes,
};
use lentilcart_bench::servers::ServerStub;
use lentilcart_route::PoolConfig;
use lentilcart_util::Micros;
use pico_args::Arguments;

/// Length of a phase of the model.
const MODEL_PHASE: Micros = Micros::from_millis(6000);

const HELP: &str = "\
Usage: lentilcart-bench COMMAND

  try                                  the whole path in one process
  bench --scenario NAME [--seed N] [--policy A,B] [--seconds S] [--firm NAME] [--report FOLDER]
        [--flags FLAGS]                              further flags of the entry daemons
  model [--seed N] [--servers N] [--noise S] [--work-ms N] [--objective-ms N] [--deadline-ms N]
        [--check-ms N] [--wait-check-ms N] [--reserve N] [--overcommit N] [--loads A,B]   one data centre on virtual time; loads are
                                                     shares of what the slots can do
  servers --listen ADDRESSES [--one-way-us N]   stand-ins of servers
  platform --listen ADDRESS                     stand-in of the platform
";

fn main() -> ExitCode {
    lentilcart::init_logs("bench");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run(Arguments::from_env())),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.subcommand()?.as_deref() {
        Some("try") => {
            print!("{}", demo().await?);
            Ok(())
        }
        Some("bench") => bench(args).await,
        Some("model") => model(args),
        Some("servers") => servers(args).await,
        Some("platform") => {
            let address: SocketAddr = args.value_from_str("--listen")?;
            Ok(PlatformStub::default().serve(address).await?)
        }
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn model(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let mut millis = |flag: &'static str, usual: u64| -> Result<Micros, pico_args::Error> {
        let told = args.opt_value_from_str(flag)?;
        Ok(Micros::from_millis(told.unwrap_or(usual)))
    };
    let mut world = World {
        servers: 50,
        noise: 0.25,
        work: millis("--work-ms", 230)?,
        objective: millis("--objective-ms", 600)?,
        deadline: millis("--deadline-ms", 5000)?,
        check: millis("--check-ms", 10)?,
        wait_check: millis("--wait-check-ms", 40)?,
    };
    world.servers = args
        .opt_value_from_str("--servers")?
        .unwrap_or(world.servers);
    world.noise = args.opt_value_from_str("--noise")?.unwrap_or(world.noise);
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let loads: String = args
        .opt_value_from_str("--loads")?
        .unwrap_or_else(|| "0.3,0.6,0.75,0.9,1.05,0.4".to_owned());
    let most = world.servers as f64 * 3.0 / world.work.as_secs();
    let mut phases = Vec::new();
    for (index, share) in loads.split(',').enumerate() {
        let share: f64 = share
            .parse()
            .map_err(|_| format!("--loads {share}: expected a number"))?;
        let from = MODEL_PHASE.scaled(index as f64);
        phases.push(Load {
            from,
            rate: most * share,
        });
    }
    let ends = MODEL_PHASE.scaled(phases.len() as f64);
    let reserve: Option<u32> = args.opt_value_from_str("--reserve")?;
    let overcommit: Option<u32> = args.opt_value_from_str("--overcommit")?;
    let set = |config: &mut PoolConfig| {
        config.reserve = reserve.unwrap_or(config.reserve);
        config.overcommit = overcommit.unwrap_or(config.overcommit);
    };
    for (share, tally) in loads.split(',').zip(play(world, set, &phases, ends, seed)) {
        println!("{share} {}", serde_json::to_string(&tally)?);
    }
    Ok(())
}

async fn servers(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let listen: String = args.value_from_str("--listen")?;
    let one_way = Micros(args.opt_value_from_str("--one-way-us")?.unwrap_or(0));
    let mut tasks = tokio::task::JoinSet::new();
    for address in listen.split(',') {
        tasks.spawn(ServerStub::new(address.parse()?, 3, one_way).serve());
    }
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(())
}

async fn bench(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let scenario: String = args.value_from_str("--scenario")?;
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(15);
    let firm: String = args
        .opt_value_from_str("--firm")?
        .unwrap_or_else(|| "traviesas".to_owned());
    let firm = get_firm(&firm).ok_or(format!("--firm {firm}: expected traviesas or zarnica"))?;
    let policies: Option<String> = args.opt_value_from_str("--policy")?;
    let report: Option<String> = args.opt_value_from_str("--report")?;
    let flags: Option<String> = args.opt_value_from_str("--flags")?;
    let flags: Vec<String> = flags
        .iter()
        .flat_map(|text| text.split_whitespace())
        .map(str::to_owned)
        .collect();
    let variants = variants_of(policies.as_deref())?;
    let length = Micros::from_millis(seconds * 1000);
    match scenario.as_str() {
        "slopes" => {
            for row in slopes() {
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        "force" => {
            for (tickets, delay) in [(200, 0), (10, 2000)] {
                let row = force(firm, &variants[0], tickets, delay).await?;
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        "overhead" => {
            for variant in &variants {
                let row = overhead(firm, variant, seed, length).await;
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        _ => {}
    }
    let names = SCENARIOS.map(|scenario| scenario.name).join(", ");
    let expected = format!("expected one of {names}, force, overhead, slopes");
    let scenario = get_scenario(&scenario).ok_or(format!("--scenario {scenario}: {expected}"))?;
    let plan = Experiment {
        firm,
        scenario,
        seed,
        length,
        flags,
    };
    let rows = experiment(&plan, &variants).await;
    for row in &rows {
        println!("{}", serde_json::to_string(row)?);
    }
    eprint!("{}", table(&rows));
    if let Some(folder) = report {
        std::fs::create_dir_all(&folder)?;
        let file = format!("{}-{}-{seed}.svg", firm.name, scenario.name);
        plot(&rows, &Path::new(&folder).join(file))?;
    }
    Ok(())
}

fn variants_of(names: Option<&str>) -> Result<Vec<Variant>, String> {
    let Some(names) = names else {
        return Ok(VARIANTS.to_vec());
    };
    let all = VARIANTS.map(|variant| variant.name).join(", ");
    let find = |name| get_variant(name).ok_or(format!("--policy {name}: expected some of {all}"));
    names.split(',').map(find).collect()
}
