//! What this entry carries, and which entries its directory leaves out of answers.

use std::time::Duration;

use fireflyhoist_policy::entry_load::{
    Announcement, Exclusions, Meter, Pressure, Sample, Selection,
};
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};

use crate::process::state::Process;

/// What is known of the load of entries.
#[derive(Debug, Default)]
pub(super) struct EntryLoad {
    meter: Mutex<Meter>,
    selection: Mutex<Selection>,
}

impl Process {
    /// Measures what this entry carries.
    pub(crate) fn sample_entry_load(&self) {
        let processor = clock_gettime(ClockId::ProcessCPUTime);
        let sample = Sample {
            open: self.open_requests(),
            processor: Duration::try_from(processor).ok(),
            power: self.settings.power,
        };
        self.entry_load.meter.lock().record(self.clock.now(), sample);
    }

    /// Returns what this entry announces that it carries; `None` if the switch is off.
    pub(crate) fn pressure(&self) -> Option<Pressure> {
        self.scheduling().entry_load.then(|| self.entry_load.meter.lock().pressure())
    }

    /// Applies what the ready entries announce, this one included, to the answers of the directory.
    pub(crate) fn update_selection(&self, announced: &[Announcement]) {
        let mut selection = self.entry_load.selection.lock();
        for change in selection.update(self.clock.now(), announced) {
            let pressure = change.pressure.map_or_else(String::new, |part| part.to_string());
            if change.left_out {
                ::log::info!(
                    entry:% = change.host, pressure:% = pressure;
                    "entry left out of answers of the directory"
                );
            } else {
                ::log::info!(
                    entry:% = change.host, pressure:% = pressure;
                    "entry in all answers of the directory again"
                );
            }
        }
    }

    /// Returns the entries that the directory leaves out of answers by the decision of this entry.
    pub(crate) fn exclusions(&self) -> Exclusions {
        self.entry_load.selection.lock().exclusions().clone()
    }

    /// Returns what leaves are told of them.
    pub(crate) fn announced_exclusions(&self) -> Exclusions {
        self.entry_load.selection.lock().exclusions().announced()
    }
}
