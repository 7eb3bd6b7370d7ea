//! Command line of the stubs, the demonstration and the experiments of lentilcart.

use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use lentilcart_bench::ahead::{AheadOptions, SendMode, measure_ahead};
use lentilcart_bench::cluster::{Variant, binary_path, get_firm};
use lentilcart_bench::demo::run_demo;
use lentilcart_bench::model::{
    LoadPhase, ModelConfig, PATTERNS, ShedScore, bound_value, simulate, simulate_shedding,
};
use lentilcart_bench::platform::PlatformStub;
use lentilcart_bench::report::{format_table, write_plot};
use lentilcart_bench::scenario::{
    Experiment, SCENARIOS, VARIANTS, get_scenario, get_variant, measure_in_force_delays,
    measure_overhead, measure_scaling, run_experiment,
};
use lentilcart_bench::servers::ServerStub;
use lentilcart_bench::soak::{SoakOptions, SoakSize, parse_faults, run_soak};
use lentilcart_bench::uploads::{UploadOptions, measure_uploads};
use lentilcart_route::{PoolConfig, SHED_RULES, ShedRule};
use lentilcart_util::{ByteText, Micros};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

/// Length of each phase of load in the model.
const MODEL_PHASE: Micros = Micros::from_millis(6000);

const HELP: &str = "\
Usage: lentilcart-bench COMMAND

  try                                 run the demonstration: the whole request path in
                                      one process
  bench --scenario NAME [--seed N] [--policy A,B] [--seconds S] [--firm NAME] [--report FOLDER]
        [--flags FLAGS]               run a scenario for each variant; an unknown NAME prints
                                      the names of all scenarios; --policy takes names of
                                      variants, such as near1-over2 (all if absent); FLAGS are
                                      further flags of the entry daemons; the scenario `force`
                                      uses only the first variant, `slopes` none
  model [--seed N] [--servers N] [--noise S] [--work-ms N] [--objective-ms N] [--deadline-ms N]
        [--check-ms N] [--wait-check-ms N] [--reserve N] [--overcommit N] [--loads A,B]
        [--need S] [--need-limit N] [--unnamed]
                                      simulate one data centre on virtual time; loads are
                                      shares of the capacity of the slots; a share S of the
                                      servers is in need, accepts N requests a second each,
                                      and names that limit unless --unnamed is given
  shedding [--seeds N] [--rules A,B]  compare rules of load shedding on virtual time, each
                                      pattern with the same arrivals over N seeds (20)
  soak --seed N --seconds S [--size small|grown] [--entries E] [--servers N] [--load SHARE]
       [--pace FACTOR] [--program PATH] [--program-share SHARE] [--faults LIST] [--logs FOLDER]
                                      run entries as separate processes before servers and a
                                      store with faults, and check what clients and servers saw;
                                      an unknown part of LIST prints all faults; --servers is
                                      the number of servers of each service, SHARE that of the
                                      site's load, FACTOR raises the number of ends of servers,
                                      --program-share that of the entries that run PATH;
                                      exit code 1 if a rule was broken
  uploads [--program PATH] [--counts A,B] [--waves N] [--memory SIZE] [--folder PATH]
                                      send uploads of 56 MiB at once beside small requests to
                                      one entry, a process of its own that is killed above SIZE
                                      (650MB if absent), for each number of uploads (0,5,8,50,200
                                      if absent); prints a JSON line for each
  ahead [--program PATH] [--mode MODE] [--rate N] [--seconds N] [--work-ms N] [--folder PATH]
                                      send requests two at once to one entry, a process of its
                                      own: over one connection (MODE pairs, if absent) or one
                                      each (separate); N requests a second (200), for 20 s, which
                                      take 260 ms; prints a JSON line
  servers --listen ADDRESSES [--one-way-us N]
                                      run stubs of servers
  platform --listen ADDRESS           run the stub of the platform
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

/// Runs a subcommand; prints the help for none or an unknown one.
async fn run(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.subcommand()?.as_deref() {
        Some("try") => {
            print!("{}", run_demo().await?);
            Ok(())
        }
        Some("bench") => bench(args).await,
        Some("model") => model(args),
        Some("shedding") => shedding(args),
        Some("soak") => soak(args).await,
        Some("uploads") => uploads(args).await,
        Some("ahead") => ahead(args).await,
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

/// Compares rules of load shedding, and prints a Markdown table: means over the seeds, and the mean and the standard
/// error of the paired difference of the value to the default rule.
fn shedding(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(20);
    let unfair = args.contains("--swap-shares");
    let names: Option<String> = args.opt_value_from_str("--rules")?;
    let is_wanted = |name: &str| match &names {
        Some(names) => names.split(',').any(|wanted| wanted == name),
        None => true,
    };
    println!(
        "| pattern | rule | in time | late | refused | value | to today's | net | worst 2 s | worst kind | worst account | held p50 / p95 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for pattern in PATTERNS {
        let play = |rule: &'static ShedRule| -> Vec<ShedScore> {
            // The default rule as it is today, without shares of accounts.
            let fair = rule.plans != unfair;
            let seeds = 1..=seeds;
            seeds
                .map(|seed| simulate_shedding(pattern, rule, fair, seed))
                .collect()
        };
        let today = play(&SHED_RULES[0]);
        for rule in SHED_RULES.iter().filter(|rule| is_wanted(rule.name)) {
            let scores = play(rule);
            let mean = |get: &dyn Fn(&ShedScore) -> f64| {
                scores.iter().map(get).sum::<f64>() / scores.len() as f64
            };
            let differences = scores.iter().zip(&today);
            let differences: Vec<f64> = differences.map(|(a, b)| a.value - b.value).collect();
            let count = differences.len() as f64;
            let difference = differences.iter().sum::<f64>() / count;
            let squares = differences.iter().map(|it| (it - difference).powi(2));
            let error = (squares.sum::<f64>() / (count - 1.0).max(1.0) / count).sqrt();
            println!(
                "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:+.3} ± {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} / {:.0} |",
                pattern.name,
                rule.name,
                mean(&|score| score.in_time),
                mean(&|score| score.late),
                mean(&|score| score.refused),
                mean(&|score| score.value),
                difference,
                error,
                mean(&|score| score.net),
                mean(&|score| score.worst_window),
                mean(&|score| score.worst_kind),
                mean(&|score| score.worst_account),
                mean(&|score| score.held.0.as_millis()),
                mean(&|score| score.held.1.as_millis()),
            );
        }
        let bound = (1..=seeds).map(|seed| bound_value(pattern, seed));
        let bound = bound.sum::<f64>() / seeds as f64;
        println!(
            "| {} | bound | | | | {bound:.3} | | | | | | |",
            pattern.name
        );
    }
    Ok(())
}

/// Simulates the model and prints the tally of each phase as a JSON line.
fn model(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let mut millis = |flag: &'static str, default_ms: u64| -> Result<Micros, pico_args::Error> {
        let value = args.opt_value_from_str(flag)?;
        Ok(Micros::from_millis(value.unwrap_or(default_ms)))
    };
    let mut config = ModelConfig {
        servers: 50,
        slow_share: 0.25,
        service_time: millis("--work-ms", 230)?,
        objective: millis("--objective-ms", 600)?,
        deadline: millis("--deadline-ms", 5000)?,
        probe_age: millis("--check-ms", 10)?,
        queued_probe_age: millis("--wait-check-ms", 40)?,
        need_share: 0.0,
        need_limit: 3.0,
        names_limit: !args.contains("--unnamed"),
    };
    config.need_share = args
        .opt_value_from_str("--need")?
        .unwrap_or(config.need_share);
    config.need_limit = args
        .opt_value_from_str("--need-limit")?
        .unwrap_or(config.need_limit);
    config.servers = args
        .opt_value_from_str("--servers")?
        .unwrap_or(config.servers);
    config.slow_share = args
        .opt_value_from_str("--noise")?
        .unwrap_or(config.slow_share);
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let loads: String = args
        .opt_value_from_str("--loads")?
        .unwrap_or_else(|| "0.3,0.6,0.75,0.9,1.05,0.4".to_owned());
    let full_rate = config.servers as f64 * 3.0 / config.service_time.as_secs();
    let mut phases = Vec::new();
    for (index, share) in loads.split(',').enumerate() {
        let share: f64 = share
            .parse()
            .map_err(|_| format!("--loads {share}: expected a number"))?;
        let starts_at = MODEL_PHASE.scaled(index as f64);
        phases.push(LoadPhase {
            starts_at,
            rate: full_rate * share,
        });
    }
    let end = MODEL_PHASE.scaled(phases.len() as f64);
    let reserve: Option<u32> = args.opt_value_from_str("--reserve")?;
    let overcommit: Option<u32> = args.opt_value_from_str("--overcommit")?;
    let set_pool = |pool: &mut PoolConfig| {
        pool.reserve = reserve.unwrap_or(pool.reserve);
        pool.overcommit = overcommit.unwrap_or(pool.overcommit);
    };
    for (share, tally) in loads
        .split(',')
        .zip(simulate(config, set_pool, &phases, end, seed))
    {
        println!("{share} {}", serde_json::to_string(&tally)?);
    }
    Ok(())
}

/// Measures large uploads at once and prints a JSON line for each number of them.
async fn uploads(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let program = args.opt_value_from_os_str("--program", |path| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(path))
    })?;
    let counts: String = args
        .opt_value_from_str("--counts")?
        .unwrap_or_else(|| "0,5,8,50,200".to_owned());
    let counts = counts.split(',').map(|count| {
        count
            .parse()
            .map_err(|_| format!("--counts {count}: expected numbers"))
    });
    let memory: Option<String> = args.opt_value_from_str("--memory")?;
    let folder: Option<String> = args.opt_value_from_str("--folder")?;
    let options = UploadOptions {
        program: program.unwrap_or_else(|| binary_path("lentilcartd")),
        folder: folder.map_or_else(
            || std::env::temp_dir().join("lentilcart-uploads"),
            PathBuf::from,
        ),
        counts: counts.collect::<Result<_, _>>()?,
        waves: args.opt_value_from_str("--waves")?.unwrap_or(3),
        memory: ByteText::parse(memory.as_deref().unwrap_or("650MB"))?,
    };
    for row in measure_uploads(&options).await? {
        println!("{}", serde_json::to_string(&row)?);
    }
    Ok(())
}

/// Measures callers that send requests ahead and prints a JSON line.
async fn ahead(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let program: Option<String> = args.opt_value_from_str("--program")?;
    let folder: Option<String> = args.opt_value_from_str("--folder")?;
    let mode: Option<String> = args.opt_value_from_str("--mode")?;
    let mode = mode.unwrap_or_else(|| SendMode::Pairs.as_str().to_owned());
    let known = SendMode::ALL
        .into_iter()
        .find(|known| known.as_str() == mode);
    let options = AheadOptions {
        program: program.map_or_else(|| binary_path("lentilcartd"), PathBuf::from),
        folder: folder.map_or_else(
            || std::env::temp_dir().join("lentilcart-ahead"),
            PathBuf::from,
        ),
        mode: known.ok_or_else(|| format!("--mode {mode}: expected pairs or separate"))?,
        rate: args.opt_value_from_str("--rate")?.unwrap_or(200.0),
        duration: Duration::from_secs(args.opt_value_from_str("--seconds")?.unwrap_or(20)),
        service_time: Duration::from_millis(args.opt_value_from_str("--work-ms")?.unwrap_or(260)),
    };
    println!(
        "{}",
        serde_json::to_string(&measure_ahead(&options).await?)?
    );
    Ok(())
}

/// Runs stubs of servers with 3 slots each until one fails.
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

/// Runs a soak and prints its report as a JSON line, and the stories of broken rules. A signal to stop ends
/// it early.
async fn soak(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let size: Option<String> = args.opt_value_from_str("--size")?;
    let size = match size.as_deref() {
        None | Some("small") => SoakSize::Small,
        Some("grown") => SoakSize::Grown,
        Some(size) => return Err(format!("--size {size}: expected small or grown").into()),
    };
    let faults: Option<String> = args.opt_value_from_str("--faults")?;
    let program: Option<PathBuf> = args.opt_value_from_str("--program")?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs")?;
    let folder = format!("lentilcart-soak-{}", std::process::id());
    let options = SoakOptions {
        seed: args.value_from_str("--seed")?,
        seconds: args.value_from_str("--seconds")?,
        size,
        entries: args.opt_value_from_str("--entries")?,
        servers: args.opt_value_from_str("--servers")?,
        load: args.opt_value_from_str("--load")?,
        pace: args.opt_value_from_str("--pace")?.unwrap_or(1.0),
        program: program.unwrap_or_else(|| binary_path("lentilcartd")),
        program_share: args.opt_value_from_str("--program-share")?.unwrap_or(1.0),
        faults: parse_faults(faults.as_deref().unwrap_or("all"))?,
        logs: logs
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(folder)),
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let report = run_soak(&options, stop).await;
    if logs.is_none() {
        std::fs::remove_dir_all(&options.logs)?;
    }
    let report = report?;
    print!("{}", report.stories);
    println!("{}", serde_json::to_string(&report)?);
    if report.faults.is_empty() {
        return Ok(());
    }
    Err(format!("seed {}: {} rules broken", report.seed, report.faults.len()).into())
}

/// Runs a scenario, prints its results as JSON lines and a table, and writes a plot if asked to.
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
    let variants = parse_variants(policies.as_deref())?;
    let duration = Micros::from_millis(seconds * 1000);
    match scenario.as_str() {
        "slopes" => {
            for row in measure_scaling() {
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        "force" => {
            for (tickets, delay) in [(200, 0), (10, 2000)] {
                let row = measure_in_force_delays(firm, &variants[0], tickets, delay).await?;
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        "overhead" => {
            for variant in &variants {
                let row = measure_overhead(firm, variant, seed, duration).await;
                println!("{}", serde_json::to_string(&row)?);
            }
            return Ok(());
        }
        _ => {}
    }
    let names = SCENARIOS.map(|scenario| scenario.name).join(", ");
    let expected = format!("expected one of {names}, force, overhead, slopes");
    let scenario = get_scenario(&scenario).ok_or(format!("--scenario {scenario}: {expected}"))?;
    let experiment = Experiment {
        firm,
        scenario,
        seed,
        duration,
        flags,
    };
    let rows = run_experiment(&experiment, &variants).await;
    for row in &rows {
        println!("{}", serde_json::to_string(row)?);
    }
    eprint!("{}", format_table(&rows));
    if let Some(folder) = report {
        std::fs::create_dir_all(&folder)?;
        let file = format!("{}-{}-{seed}.svg", firm.name, scenario.name);
        write_plot(&rows, &Path::new(&folder).join(file))?;
    }
    Ok(())
}

/// Returns the variants of a list of names, separated by commas; all variants if `names` is `None`.
fn parse_variants(names: Option<&str>) -> Result<Vec<Variant>, String> {
    let Some(names) = names else {
        return Ok(VARIANTS.to_vec());
    };
    let all = VARIANTS.map(|variant| variant.name).join(", ");
    let find = |name| get_variant(name).ok_or(format!("--policy {name}: expected some of {all}"));
    names.split(',').map(find).collect()
}
