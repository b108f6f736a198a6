//! How records are encoded, split into the pieces that the store keeps, and read back.

use std::collections::HashMap;
use std::marker::PhantomData;

use bytes::{BufMut as _, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::instance::events::event;

/// First byte of the last or only piece of a record.
const LAST_PIECE: u8 = 0;
/// First byte of a piece that another piece follows.
const MORE_PIECES: u8 = 1;
/// First byte of a piece of a record that takes more than one append.
const NUMBERED_PIECE: u8 = 2;
/// Size in bytes of what a numbered piece holds besides its part of the record.
const NUMBERED_HEAD: usize = 1 + size_of::<u64>() + size_of::<u32>() + 1;
/// Bytes that the store adds to each piece: its length.
pub const PIECE_FRAMING: usize = 4;
/// Limit on the bytes of incomplete records of several appends that a reader keeps.
///
/// The end of a record never comes if its writer gave it up. A request body is the largest part of
/// any record, and far smaller than this.
const UNFINISHED_BYTES_MAX: usize = 64 << 20;

/// Maximum sizes in the store, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizeLimits {
    /// Of a piece of a record, which the store keeps as a record of its own.
    pub piece: usize,
    /// Of an append, with [`PIECE_FRAMING`] for each piece.
    pub append: usize,
}

fn encode_body<T: Serialize>(record: &T) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(record, &mut body).expect("records encode into memory");
    body
}

/// Encodes a record into pieces of at most `limit` bytes, to be appended in one batch.
///
/// # Panics
/// Never: a record has no type that CBOR cannot hold.
#[must_use]
pub fn encode<T: Serialize>(record: &T, limit: usize) -> Vec<Bytes> {
    split(&encode_body(record), limit)
}

/// Splits an encoded record into pieces that follow each other in the log.
fn split(body: &[u8], limit: usize) -> Vec<Bytes> {
    let size = limit.max(2) - 1;
    let count = body.chunks(size).count();
    let piece = |(at, chunk): (usize, &[u8])| {
        let mut piece = BytesMut::with_capacity(chunk.len() + 1);
        piece.put_u8(if at + 1 == count {
            LAST_PIECE
        } else {
            MORE_PIECES
        });
        piece.put_slice(chunk);
        piece.freeze()
    };
    body.chunks(size).enumerate().map(piece).collect()
}

/// Splits an encoded record into numbered pieces, between which pieces of others may stand.
fn split_numbered(body: &[u8], id: u64, limit: usize) -> Vec<Bytes> {
    let size = limit.max(NUMBERED_HEAD + 1) - NUMBERED_HEAD;
    let count = body.chunks(size).count();
    let piece = |(at, chunk): (usize, &[u8])| {
        let mut piece = BytesMut::with_capacity(chunk.len() + NUMBERED_HEAD);
        piece.put_u8(NUMBERED_PIECE);
        piece.put_u64(id);
        piece.put_u32(u32::try_from(at).unwrap_or(u32::MAX));
        piece.put_u8(u8::from(at + 1 == count));
        piece.put_slice(chunk);
        piece.freeze()
    };
    body.chunks(size).enumerate().map(piece).collect()
}

/// Size of an append of these pieces in bytes.
#[must_use]
pub fn append_size(pieces: &[Bytes]) -> usize {
    pieces.iter().map(|piece| piece.len() + PIECE_FRAMING).sum()
}

/// Encodes a record into the pieces of one or more appends.
///
/// A record that fits is appended at once. Another one is split over several appends, between which
/// other writers may append; `id` tells its pieces from those of other such records. It counts
/// from its last piece on.
///
/// # Panics
/// Never: a record has no type that CBOR cannot hold.
#[must_use]
pub fn encode_appends<T: Serialize>(record: &T, id: u64, limits: SizeLimits) -> Vec<Vec<Bytes>> {
    let body = encode_body(record);
    let pieces = split(&body, limits.piece);
    if append_size(&pieces) <= limits.append {
        return vec![pieces];
    }
    let limit = limits
        .piece
        .min(limits.append.saturating_sub(PIECE_FRAMING));
    let mut appends: Vec<Vec<Bytes>> = Vec::new();
    let mut size = usize::MAX;
    for piece in split_numbered(&body, id, limit) {
        let framed = piece.len() + PIECE_FRAMING;
        if size.saturating_add(framed) > limits.append {
            appends.push(Vec::new());
            size = 0;
        }
        size += framed;
        if let Some(append) = appends.last_mut() {
            append.push(piece);
        }
    }
    appends
}

/// A record of several appends whose last piece has not been read.
#[derive(Clone, Debug)]
struct Unfinished {
    /// Offset of the first piece.
    first: u64,
    /// Number of the next piece.
    next: u32,
    bytes: Vec<u8>,
    /// When the last piece came, counted in pieces read.
    extended: u64,
}

/// Records of several appends that are not complete, by id.
#[derive(Clone, Debug, Default)]
struct UnfinishedRecords {
    records: HashMap<u64, Unfinished>,
    /// Number of pieces read.
    pieces: u64,
    bytes: usize,
}

impl UnfinishedRecords {
    /// Adds a piece without its marker; returns the record that it completes, and the offset of
    /// that record's first piece.
    ///
    /// Pieces of a record whose start was not read are skipped, as for a reader that starts between
    /// them.
    fn push(&mut self, offset: u64, piece: &[u8]) -> Result<Option<(u64, Vec<u8>)>, String> {
        let short = || "numbered piece of a record: shorter than its head".to_owned();
        let (id, rest) = piece.split_first_chunk().ok_or_else(short)?;
        let (at, rest) = rest.split_first_chunk().ok_or_else(short)?;
        let (is_last, chunk) = rest.split_first().ok_or_else(short)?;
        let (id, at) = (u64::from_be_bytes(*id), u32::from_be_bytes(*at));
        if at == 0 {
            self.remove(id);
        }
        let known = self.records.get(&id).map(|record| record.next);
        if known.unwrap_or_default() != at {
            self.remove(id);
            return Ok(None);
        }
        self.pieces += 1;
        self.bytes += chunk.len();
        let record = self.records.entry(id).or_insert_with(|| Unfinished {
            first: offset,
            next: 0,
            bytes: Vec::new(),
            extended: 0,
        });
        record.bytes.extend_from_slice(chunk);
        record.next = at.saturating_add(1);
        record.extended = self.pieces;
        if *is_last != 0 {
            return Ok(self.remove(id).map(|record| (record.first, record.bytes)));
        }
        self.evict();
        Ok(None)
    }

    fn remove(&mut self, id: u64) -> Option<Unfinished> {
        let record = self.records.remove(&id)?;
        self.bytes -= record.bytes.len();
        Some(record)
    }

    /// Drops the records that were extended longest ago beyond the size limit.
    fn evict(&mut self) {
        while self.bytes > UNFINISHED_BYTES_MAX {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.extended);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return;
            };
            if let Some(record) = self.remove(id) {
                event!("record_unfinished", "offset" => record.first,
                    "bytes" => record.bytes.len());
            }
        }
    }
}

/// Reassembles pieces and decodes the records of one log.
#[derive(Clone, Debug)]
pub struct Decoder<T> {
    /// Bytes of an incomplete record whose pieces follow each other.
    pending: Vec<u8>,
    /// Offset of the first pending piece.
    first: Option<u64>,
    unfinished: UnfinishedRecords,
    record: PhantomData<T>,
}

impl<T> Default for Decoder<T> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            first: None,
            unfinished: UnfinishedRecords::default(),
            record: PhantomData,
        }
    }
}

impl<T: DeserializeOwned> Decoder<T> {
    /// Decodes a page of pieces into records, each with its first piece's offset.
    ///
    /// Pieces and records that do not decode are logged and skipped.
    pub fn records(&mut self, pieces: Vec<(u64, Bytes)>) -> impl Iterator<Item = (u64, T)> {
        pieces
            .into_iter()
            .filter_map(|(offset, piece)| match self.push(offset, &piece) {
                Ok(record) => record,
                Err(error) => {
                    event!("record", "offset" => offset, "error" => error);
                    None
                }
            })
    }

    /// Adds the piece at an offset, and returns the record that it completes, if any, with the
    /// offset of that record's first piece.
    ///
    /// # Errors
    /// The piece or the record does not decode; it is skipped.
    pub fn push(&mut self, offset: u64, piece: &[u8]) -> Result<Option<(u64, T)>, String> {
        let Some((marker, chunk)) = piece.split_first() else {
            return Err("empty piece of a record: expected a marker byte".to_owned());
        };
        let (first, body) = match *marker {
            NUMBERED_PIECE => match self.unfinished.push(offset, chunk)? {
                Some(complete) => complete,
                None => return Ok(None),
            },
            marker => {
                let first = *self.first.get_or_insert(offset);
                self.pending.extend_from_slice(chunk);
                if marker == MORE_PIECES {
                    return Ok(None);
                }
                self.first = None;
                (first, std::mem::take(&mut self.pending))
            }
        };
        let record = ciborium::from_reader(body.as_slice());
        let record = record.map_err(|error| error.to_string())?;
        Ok(Some((first, record)))
    }
}
