//! Polls a zone's file and reads it when it has changed.

use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::Duration;

use dahliaroad_membership::{Freshness, SourceMessage};
use tokio::time::sleep;

use crate::zone::Zone;
use crate::zone_error::{ZoneFault, ZoneFileError};
use crate::zone_follower::{FileAction, FileStamp, ZoneFollower, ZoneStatistics};

/// Maximum number of errors of a file that are logged, so that one file cannot fill the log.
const MAX_LOGGED_ERRORS: usize = 3;

/// Returns the stamp of a file. Symbolic links are followed, so that a replaced link changes the stamp. Returns
/// `None` if the file does not exist.
fn file_stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    let seconds = metadata.mtime().max(0) as u64;
    let nanoseconds = metadata.mtime_nsec().clamp(0, 999_999_999) as u32;
    Some(FileStamp {
        device: metadata.dev(),
        inode: metadata.ino(),
        length: metadata.len(),
        changed: Duration::new(seconds, nanoseconds),
    })
}

/// Reads a zone's file and the files of the same directory that it includes.
pub fn load_zone(apex: &str, path: &Path) -> Result<Zone, Vec<ZoneFileError>> {
    let directory = path.parent().unwrap_or(Path::new(""));
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let mut read_text = |file: &str| std::fs::read_to_string(directory.join(file));
    Zone::read(apex, &name, &mut read_text)
}

/// Reads a zone's file on another thread. A large zone takes tens of milliseconds, and reading it on this thread would
/// delay drains.
async fn load_zone_in_background(apex: &str, path: &Path) -> Result<Zone, Vec<ZoneFileError>> {
    let file = path.display().to_string();
    let apex = apex.to_owned();
    let path = path.to_owned();
    let zone = tokio::task::spawn_blocking(move || load_zone(&apex, &path)).await;
    zone.unwrap_or_else(|error| {
        let reason = ZoneFault::Unreadable(error.to_string());
        Err(vec![ZoneFileError { file, line: 0, reason }])
    })
}

/// Follows a zone's file for as long as the future is polled, and checks the file at this interval. `report` passes a
/// message to the membership. `on_statistics` receives the counters after each read.
pub async fn follow_zone_file(
    apex: &str,
    path: &Path,
    mut follower: ZoneFollower,
    interval: Duration,
    mut report: impl AsyncFnMut(SourceMessage) -> Freshness,
    mut on_statistics: impl FnMut(&ZoneStatistics),
) {
    loop {
        let stamp = file_stamp(path);
        match follower.on_stamp(stamp) {
            FileAction::Wait => {}
            FileAction::Report(message) => {
                report(message).await;
            }
            FileAction::Read => {
                let zone = load_zone_in_background(apex, path).await;
                match follower.on_zone(stamp, zone, file_stamp(path)) {
                    Ok(Some(message)) => {
                        report(message).await;
                    }
                    Ok(None) => {}
                    Err(errors) => log_rejection(follower.source(), &errors),
                }
                on_statistics(&follower.statistics);
            }
        }
        sleep(interval).await;
    }
}

fn log_rejection(source: &str, errors: &[ZoneFileError]) {
    for error in errors.iter().take(MAX_LOGGED_ERRORS) {
        tracing::warn!(
        source,
        reason = %error,
        "zone: file rejected; the last accepted zone, if any, is kept"
        );
    }
}
