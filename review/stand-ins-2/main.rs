//! Plays the cases of the review that are scripts: `lab CASE RECORD [NUMBER..]`.

mod flood;
mod http;
mod interim;
mod length;
mod parts;
mod program;
mod record;
mod runner;
mod store;
mod watch;

use std::path::Path;
use std::process::ExitCode;

use program::Machine;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, rest @ ..] = &arguments[..] else {
        eprintln!("usage: lab CASE RECORD [NUMBER..]");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("lab-{}", std::process::id()));
    let kept = std::fs::create_dir_all(&folder)
        .and_then(|()| Record::create(Path::new(path)))
        .and_then(|record| play(case, &record, &folder, has_trouble, rest));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(
    case: &str,
    record: &Record,
    folder: &Path,
    has_trouble: bool,
    rest: &[String],
) -> std::io::Result<bool> {
    // A machine of the sheets: 0.25 cores and 260 MB.
    let machine = Machine {
        name: "front-a-1",
        zone: "a",
        cpu_share: 0.25,
        memory_mb: 260,
    };
    let number = |n: usize| rest.get(n).and_then(|text| text.parse().ok());
    match case {
        "flood" => {
            let [
                Some(clients),
                Some(head_bytes),
                Some(chunk_bytes),
                Some(body_bytes),
            ] = [0, 1, 2, 3].map(number)
            else {
                return Err(std::io::Error::other(
                    "flood CLIENTS HEAD_BYTES CHUNK_BYTES BODY_BYTES",
                ));
            };
            let flood = flood::Flood {
                clients,
                head_bytes,
                chunk_bytes,
                body_bytes,
                machine,
            };
            flood::run(record, folder, &flood, has_trouble)
        }
        "interim" => interim::run(
            record,
            folder,
            &machine,
            number(0).unwrap_or(300),
            has_trouble,
        ),
        "length" => length::run(record, folder, &machine, has_trouble),
        "parts" => parts::run(
            record,
            folder,
            &machine,
            number(0).unwrap_or(200) as u64,
            has_trouble,
        ),
        _ => Err(std::io::Error::other(format!("no case {case}"))),
    }
}
