//! Newtypes for names and identifiers, so that the compiler tells the kinds apart.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Defines a newtype over a shared string.
macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[as_ref(str)]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// A tenant: one customer team of a deployment.
    Tenant
);
name_type!(
    /// A pool of interchangeable backend servers.
    Pool
);
name_type!(
    /// A model that the engines of a pool serve.
    Model
);
name_type!(
    /// An availability zone.
    Zone
);
name_type!(
    /// The identifier of a backend server.
    ServerId
);
name_type!(
    /// The identifier of an instance: one machine that runs an entry and a control daemon.
    InstanceId
);
name_type!(
    /// A random identifier that a process draws at each start.
    Incarnation
);
name_type!(
    /// The SHA-256 digest of an API key, in hex.
    KeyDigest
);

impl Incarnation {
    /// Draws a new incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self::from(crate::util::random_id())
    }
}

impl KeyDigest {
    /// Computes the digest of a key's text.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self::from(sha256_hex(key.as_bytes()))
    }
}

/// Returns the SHA-256 digest of `bytes`, in hex.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let digest = Sha256::digest(bytes);
    let mut text = String::with_capacity(digest.len() * 2);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// A request's fingerprint: equal parts give equal fingerprints.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Hashes a request's parts, each with its length, so that moving bytes from one part to
    /// the next changes the fingerprint.
    #[must_use]
    pub fn of<T: AsRef<[u8]>>(parts: &[T]) -> Self {
        let mut text = Vec::new();
        for part in parts {
            let part = part.as_ref();
            text.extend_from_slice(part.len().to_string().as_bytes());
            text.push(b':');
            text.extend_from_slice(part);
        }
        Self(sha256_hex(&text))
    }

    /// Wraps a fingerprint that another process computed.
    #[must_use]
    pub fn from_wire(text: &str) -> Self {
        Self(text.to_owned())
    }
}

/// A secret that `Debug` does not print.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret; surrounding white space is dropped.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// The secret in plain text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Whether `other` equals this secret, compared in constant time.
    #[must_use]
    pub fn is(&self, other: &str) -> bool {
        use subtle::ConstantTimeEq as _;
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fingerprint_part_boundary() {
        assert_ne!(Fingerprint::of(&["ab", "c"]), Fingerprint::of(&["a", "bc"]));
    }
}
