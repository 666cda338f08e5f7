//! Memory that a request holds.

use std::sync::Arc;

use crate::connection_table::ConnectionTable;

/// Bytes that a request holds. They are given back when this is dropped.
#[derive(Debug, Default)]
pub struct HeldBytes {
    table: Option<Arc<ConnectionTable>>,
    bytes: usize,
}

impl HeldBytes {
    /// Takes bytes, whether there is room or not.
    pub(crate) fn take(table: Arc<ConnectionTable>, bytes: usize) -> HeldBytes {
        table.add(bytes);
        HeldBytes { table: Some(table), bytes }
    }

    /// Their number.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Adds what another one holds.
    pub(crate) fn join(&mut self, mut other: HeldBytes) {
        self.bytes += std::mem::take(&mut other.bytes);
        self.table = self.table.take().or_else(|| other.table.take());
    }

    /// Holds so many bytes from now on.
    pub fn resize(&mut self, bytes: usize) {
        let Some(table) = &self.table else { return };
        table.add(bytes);
        table.give_back(self.bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(table) = &self.table {
            table.give_back(self.bytes);
        }
    }
}
