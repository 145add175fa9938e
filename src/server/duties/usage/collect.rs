use super::{
    super::DutyHandle,
    rows::{
        COUNTS_END, PROGRESS_KEY, ProgressRow, USAGE_TABLE, first_count_key, report_key,
        window_of_count_key, window_of_report_key,
    },
};
use crate::{
    core::{
        Name,
        duties::{Reports, UsageReport},
    },
    platform::{Condition, Row, StoreError, Tx, TxOutcome},
};

/// The most rows that are deleted with one transaction.
const MAX_DELETED_ROWS_PER_TX: usize = 90;
/// How many windows before the current one the first report of all may be for: there may
/// be counts that no holder has reported yet, but also rows that are not proper.
const MAX_WINDOWS_BEFORE_FIRST_REPORT: u64 = 100;

/// The holder's access to the counts and reports in the store.
///
/// Every write depends on the row of the progress, which each new holder writes first:
/// what an earlier holder sent and is delayed then takes no effect.
pub(super) struct ReportStore {
    fence: u64,
    progress_version: u64,
}

impl ReportStore {
    /// Takes the reports over: excludes writes of earlier holders, and reads what is stored.
    ///
    /// `current_window` is where reports begin if there are neither reports nor counts.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store, and `None` if another holder was first.
    pub(super) async fn take_over(
        handle: &DutyHandle,
        fence: u64,
        current_window: u64,
    ) -> Result<Option<(Self, Reports)>, StoreError> {
        let read = handle.store().read(USAGE_TABLE, "", PROGRESS_KEY, None, 1);
        let rows = read.await?.rows;
        let row = rows.iter().find(|row| &*row.key == PROGRESS_KEY);
        let known: Option<ProgressRow> = row.and_then(decode);
        let first_open = match known {
            Some(known) => known.first_open,
            // What an unreadable row said is lost, and reports were made before.
            None if row.is_some() => current_window,
            None => {
                let oldest = oldest_window(handle).await?;
                let earliest = current_window.saturating_sub(MAX_WINDOWS_BEFORE_FIRST_REPORT);
                oldest.clamp(earliest, current_window)
            }
        };
        let mut store = Self {
            fence,
            progress_version: row.map_or(0, |row| row.version),
        };
        if !store.write_progress(handle, first_open, Vec::new()).await? {
            return Ok(None);
        }
        let from = report_key(first_open);
        let read = handle
            .store()
            .read(USAGE_TABLE, "", &from, None, usize::MAX);
        let rows = read.await?.rows;
        let stored = rows
            .iter()
            .filter_map(|row| Some((window_of_report_key(&row.key)?, decode(row)?)));
        Ok(Some((store, Reports::from_store(first_open, stored))))
    }

    /// Reads the counts of all VMs for a window, with the keys of their rows.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
    pub(super) async fn collect(
        handle: &DutyHandle,
        window: u64,
    ) -> Result<(UsageReport, Vec<Name>), StoreError> {
        let (from, to) = (first_count_key(window), first_count_key(window + 1));
        let read = handle
            .store()
            .read(USAGE_TABLE, "", &from, Some(&to), usize::MAX);
        let rows = read.await?.rows;
        let report = UsageReport::sum(rows.iter().filter_map(decode));
        Ok((report, rows.into_iter().map(|row| row.key).collect()))
    }

    /// Stores a report, unless there is one for its window or another holder has taken
    /// over; returns whether it was stored.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
    pub(super) async fn store(
        &self,
        handle: &DutyHandle,
        window: u64,
        report: &UsageReport,
    ) -> Result<bool, StoreError> {
        let key = report_key(window);
        let absent = Condition {
            table: USAGE_TABLE,
            key: key.clone(),
            row_version: 0,
        };
        let tx = Tx {
            conditions: vec![self.progress_condition(), absent],
            set: vec![(USAGE_TABLE, key, encode(report)?)],
            ..Tx::default()
        };
        let outcome = handle.store().transact(&tx).await?;
        Ok(matches!(outcome, TxOutcome::Committed(_)))
    }

    /// Records that all reports before `first_open` are acknowledged, and deletes the rows
    /// that are no longer needed; returns whether this holder still is the last one.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
    pub(super) async fn write_progress(
        &mut self,
        handle: &DutyHandle,
        first_open: u64,
        mut unneeded: Vec<Name>,
    ) -> Result<bool, StoreError> {
        let rest = unneeded.split_off(unneeded.len().min(MAX_DELETED_ROWS_PER_TX));
        let row = ProgressRow {
            first_open,
            fence: self.fence,
        };
        let tx = Tx {
            conditions: vec![self.progress_condition()],
            set: vec![(USAGE_TABLE, PROGRESS_KEY.into(), encode(&row)?)],
            delete: with_table(&unneeded),
            ..Tx::default()
        };
        match handle.store().transact(&tx).await? {
            TxOutcome::Committed(row_version) => self.progress_version = row_version,
            TxOutcome::Conflict(_) => return Ok(false),
        }
        delete_rows(handle, &rest).await?;
        Ok(true)
    }

    /// Deletes the counts of acknowledged windows that are still there: written late, or
    /// left by an earlier holder.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
    pub(super) async fn delete_leftovers(
        handle: &DutyHandle,
        first_open: u64,
    ) -> Result<(), StoreError> {
        loop {
            let to = first_count_key(first_open);
            let limit = MAX_DELETED_ROWS_PER_TX;
            let read = handle.store().read(USAGE_TABLE, "", "", Some(&to), limit);
            let keys: Vec<Name> = read.await?.rows.into_iter().map(|row| row.key).collect();
            delete_rows(handle, &keys).await?;
            if keys.len() < limit {
                return Ok(());
            }
        }
    }

    fn progress_condition(&self) -> Condition {
        Condition {
            table: USAGE_TABLE,
            key: PROGRESS_KEY.into(),
            row_version: self.progress_version,
        }
    }
}

/// Returns the oldest window with counts; the greatest number if there are none.
async fn oldest_window(handle: &DutyHandle) -> Result<u64, StoreError> {
    let read = handle
        .store()
        .read(USAGE_TABLE, "", "", Some(COUNTS_END), 1);
    let rows = read.await?.rows;
    let first = rows.first().and_then(|row| window_of_count_key(&row.key));
    Ok(first.unwrap_or(u64::MAX))
}

async fn delete_rows(handle: &DutyHandle, keys: &[Name]) -> Result<(), StoreError> {
    for chunk in keys.chunks(MAX_DELETED_ROWS_PER_TX) {
        let tx = Tx {
            delete: with_table(chunk),
            ..Tx::default()
        };
        handle.store().transact(&tx).await?;
    }
    Ok(())
}

fn with_table(keys: &[Name]) -> Vec<(&'static str, Name)> {
    keys.iter().map(|key| (USAGE_TABLE, key.clone())).collect()
}

fn encode<T>(row: &T) -> Result<Vec<u8>, StoreError>
where
    T: serde::Serialize,
{
    rmp_serde::to_vec_named(row)
        .map_err(|error| StoreError::NotDone(format!("row of usage not encoded: {error}")))
}

fn decode<T>(row: &Row) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    match rmp_serde::from_slice(row.bytes.as_ref()?) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            tracing::warn!(key = %row.key, %error, "row of usage not decoded");
            None
        }
    }
}
