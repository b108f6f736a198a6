//! Folds the configuration stream: manifest, keys, rounds and marked servers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::manifest::Manifest;
use crate::names::{KeyDigest, ServerId, Tenant, sha256_hex};
use crate::wire::{
    ConfigBody, ConfigRecord, ConfigSnapshot, KeyEntry, KnownVerdict, RoundEntry, RoundSpec,
    Verdict,
};

/// Largest number of samples in one round.
const ROUND_SAMPLES_MAX: u64 = 65_536;

/// Recent records whose verdicts are kept to deduplicate repeats. Every reader must use the
/// same number, or their states would diverge.
const RECENT_VERDICTS_MAX: usize = 256;
/// Findings kept in one remembered verdict.
const VERDICT_FINDINGS_MAX: usize = 50;

/// The state of an API key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyInfo {
    /// The tenant that the key was granted to.
    pub tenant: Tenant,
    /// The label that operators gave the key.
    pub label: String,
    /// Whether the key was withdrawn, which is final.
    pub withdrawn: bool,
}

/// The configuration in force after a prefix of the stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// Offset after the last folded record.
    pub next: u64,
    /// Revision of the manifest; 0 if there is none.
    pub revision: u64,
    /// The manifest's text.
    pub text: Arc<str>,
    /// SHA-256 of the manifest's text, in hex.
    pub digest: Arc<str>,
    /// The parsed manifest.
    pub manifest: Arc<Manifest>,
    /// Keys by digest.
    pub keys: BTreeMap<KeyDigest, KeyInfo>,
    /// Rounds by name.
    pub rounds: BTreeMap<String, RoundEntry>,
    /// Backend servers that are marked as leaving and get no new work.
    pub leaving: BTreeSet<ServerId>,
    /// Verdicts on the most recent records, oldest first.
    recent: VecDeque<Arc<KnownVerdict>>,
}

impl ConfigState {
    /// The tenant of a key; none if the key is unknown or withdrawn, or its tenant is gone.
    #[must_use]
    pub fn tenant(&self, digest: &KeyDigest) -> Option<&Tenant> {
        let info = self.keys.get(digest)?;
        let exists = self.manifest.tenants.contains_key(&info.tenant);
        (exists && !info.withdrawn).then_some(&info.tenant)
    }

    /// The round with this name, unless it was cancelled.
    #[must_use]
    pub fn round(&self, name: &str) -> Option<&RoundSpec> {
        let entry = self.rounds.get(name)?;
        (!entry.cancelled).then_some(&entry.spec)
    }

    /// The state as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            revision: self.revision,
            manifest: self.text.to_string(),
            keys: self.keys.iter().map(key_entry).collect(),
            rounds: self.rounds.values().cloned().collect(),
            leaving: self.leaving.iter().map(ServerId::to_string).collect(),
            recent: self.recent.iter().map(|known| (**known).clone()).collect(),
        }
    }
}

fn key_entry((digest, info): (&KeyDigest, &KeyInfo)) -> KeyEntry {
    KeyEntry {
        digest: digest.to_string(),
        tenant: info.tenant.to_string(),
        label: info.label.clone(),
        withdrawn: info.withdrawn,
    }
}

/// Folds records of the configuration stream into a [`ConfigState`].
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    state: ConfigState,
}

impl ConfigFold {
    /// The state after all records folded so far.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The verdict on the record with this id, if it was folded recently.
    #[must_use]
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        let found = self.state.recent.iter().rev().find(|known| known.id == id);
        found.map(|known| &known.verdict)
    }

    /// Folds the record at `offset`; records before the state's `next` are ignored.
    ///
    /// Every reader skips a record that does not parse, so that their states stay equal.
    pub fn apply(&mut self, offset: u64, data: &str) {
        if offset < self.state.next {
            return;
        }
        self.state.next = offset + 1;
        let Ok(record) = serde_json::from_str::<ConfigRecord>(data) else {
            spdlog::warn!("unreadable record skipped", kv: { offset });
            return;
        };
        if self.verdict(&record.id).is_some() {
            return;
        }
        let verdict = self.fold(offset, record.body);
        self.remember(record.id, verdict);
    }

    /// Replaces the state by a snapshot of all records before `upto`.
    ///
    /// Returns false and changes nothing if the snapshot is not ahead of this fold or its
    /// manifest is invalid.
    pub fn restore(&mut self, upto: u64, snapshot: ConfigSnapshot) -> bool {
        if upto <= self.state.next {
            return false;
        }
        let Ok(manifest) = parse_snapshot(&snapshot.manifest) else {
            spdlog::error!("configuration snapshot with an invalid manifest skipped", kv: { upto });
            return false;
        };
        self.state = ConfigState {
            next: upto,
            revision: snapshot.revision,
            digest: sha256_hex(snapshot.manifest.as_bytes()).into(),
            text: snapshot.manifest.into(),
            manifest: Arc::new(manifest),
            keys: snapshot.keys.into_iter().map(key_info).collect(),
            rounds: snapshot.rounds.into_iter().map(round_entry).collect(),
            leaving: snapshot.leaving.into_iter().map(ServerId::from).collect(),
            recent: snapshot.recent.into_iter().map(Arc::new).collect(),
        };
        true
    }

    fn remember(&mut self, id: String, mut verdict: Verdict) {
        if let Verdict::Invalid { findings } = &mut verdict {
            findings.truncate(VERDICT_FINDINGS_MAX);
        }
        let recent = &mut self.state.recent;
        if recent.len() == RECENT_VERDICTS_MAX {
            recent.pop_front();
        }
        recent.push_back(Arc::new(KnownVerdict { id, verdict }));
    }

    fn fold(&mut self, offset: u64, body: ConfigBody) -> Verdict {
        match body {
            ConfigBody::Manifest { base, text } => self.fold_manifest(offset, base, text),
            ConfigBody::KeyGrant {
                digest,
                label,
                tenant,
            } => self.fold_grant(offset, digest.into(), label, tenant.into()),
            ConfigBody::KeyWithdraw { digest } => self.fold_withdraw(offset, &digest.into()),
            ConfigBody::RoundCreate { round } => self.fold_round(offset, round),
            ConfigBody::RoundCancel { name } => self.fold_cancel(offset, &name),
            ConfigBody::ServerMark { leaving, server } => {
                self.fold_mark(offset, leaving, server.into())
            }
            ConfigBody::Snapshot { .. } => ignored("a snapshot of what is known"),
        }
    }

    fn accepted(&self, offset: u64) -> Verdict {
        Verdict::Accepted {
            offset,
            revision: self.state.revision,
        }
    }

    fn fold_manifest(&mut self, offset: u64, base: u64, text: String) -> Verdict {
        let revision = self.state.revision;
        if base != revision {
            return Verdict::Conflict { base, revision };
        }
        match Manifest::parse(&text) {
            Err(findings) => Verdict::Invalid {
                findings: findings.0,
            },
            Ok(manifest) => {
                self.state.revision = offset + 1;
                self.state.digest = sha256_hex(text.as_bytes()).into();
                self.state.text = text.into();
                self.state.manifest = Arc::new(manifest);
                self.accepted(offset)
            }
        }
    }

    fn fold_grant(
        &mut self,
        offset: u64,
        digest: KeyDigest,
        label: String,
        tenant: Tenant,
    ) -> Verdict {
        if !self.state.manifest.tenants.contains_key(&tenant) {
            return ignored(&format!("no tenant is named {tenant}"));
        }
        if self.state.keys.contains_key(&digest) {
            return ignored("the key is known already");
        }
        let info = KeyInfo {
            tenant,
            label,
            withdrawn: false,
        };
        self.state.keys.insert(digest, info);
        self.accepted(offset)
    }

    fn fold_withdraw(&mut self, offset: u64, digest: &KeyDigest) -> Verdict {
        let Some(info) = self.state.keys.get_mut(digest) else {
            return ignored("the key is unknown");
        };
        info.withdrawn = true;
        self.accepted(offset)
    }

    fn fold_round(&mut self, offset: u64, spec: RoundSpec) -> Verdict {
        let manifest = &self.state.manifest;
        if !manifest.tenants.contains_key(spec.tenant.as_str()) {
            return ignored(&format!("no tenant is named {}", spec.tenant));
        }
        if !manifest.models.contains_key(spec.model.as_str()) {
            return ignored(&format!("no model is named {}", spec.model));
        }
        let samples = u64::from(spec.groups) * u64::from(spec.samples);
        if samples == 0 || samples > ROUND_SAMPLES_MAX {
            return ignored(&format!("expected 1 to {ROUND_SAMPLES_MAX} samples in all"));
        }
        if self.state.rounds.contains_key(&spec.name) {
            return ignored("a round of this name is known already");
        }
        let entry = RoundEntry {
            cancelled: false,
            spec,
        };
        self.state.rounds.insert(entry.spec.name.clone(), entry);
        self.accepted(offset)
    }

    fn fold_cancel(&mut self, offset: u64, name: &str) -> Verdict {
        let Some(entry) = self.state.rounds.get_mut(name) else {
            return ignored("the round is unknown");
        };
        entry.cancelled = true;
        self.accepted(offset)
    }

    fn fold_mark(&mut self, offset: u64, leaving: bool, server: ServerId) -> Verdict {
        if leaving {
            self.state.leaving.insert(server);
        } else {
            self.state.leaving.remove(&server);
        }
        self.accepted(offset)
    }
}

fn ignored(reason: &str) -> Verdict {
    Verdict::Ignored {
        reason: reason.to_owned(),
    }
}

fn parse_snapshot(text: &str) -> Result<Manifest, crate::checked::Findings> {
    if text.is_empty() {
        return Ok(Manifest::default());
    }
    Manifest::parse(text)
}

fn key_info(entry: KeyEntry) -> (KeyDigest, KeyInfo) {
    let info = KeyInfo {
        tenant: entry.tenant.into(),
        label: entry.label,
        withdrawn: entry.withdrawn,
    };
    (entry.digest.into(), info)
}

fn round_entry(entry: RoundEntry) -> (String, RoundEntry) {
    (entry.spec.name.clone(), entry)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn manifest(id: &str, base: u64) -> String {
        let text = format!("base = {base}\n[[tenants]]\nname = \"desk\"\n");
        let record = ConfigRecord {
            body: ConfigBody::Manifest { base, text },
            id: id.to_owned(),
        };
        serde_json::to_string(&record).expect("a record")
    }

    #[test]
    fn restore_keeps_verdicts() {
        let mut reader = ConfigFold::default();
        reader.apply(0, &manifest("a", 0));
        reader.apply(1, &manifest("b", 0));
        let mut restored = ConfigFold::default();
        assert!(restored.restore(2, reader.state().snapshot()));
        for id in ["a", "b"] {
            assert_eq!(restored.verdict(id), reader.verdict(id), "{id}");
        }
        // A repeat that is appended after the snapshot changes neither state nor verdict.
        restored.apply(2, &manifest("a", 0));
        assert!(matches!(
            restored.verdict("a"),
            Some(Verdict::Accepted { revision: 1, .. })
        ));
        assert_eq!(restored.state().revision, 1);
    }
}
