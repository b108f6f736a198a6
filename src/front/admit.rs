//! Whether a caller's request may go on; pure.
//!
//! The patterns: an instance that starts, that is cut off from the store while a key is
//! withdrawn, or that reads of a new route a moment late. It turns requests away as not
//! run while it cannot know, and says "unknown key" or "no route" only when it can.

use std::rc::Rc;
use std::time::Duration;

use crate::instance::deployment::{Deployment, Route};

/// Time after which a caller turned away for want of knowledge may try another instance.
pub const ELSEWHERE: Duration = Duration::from_millis(100);

/// What an instance knows when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// The configuration, if one was read.
    pub deployment: Option<&'a Deployment>,
    /// Whether no key can have been withdrawn without being known.
    pub fresh: bool,
    /// Whether no route or key can have been added without being known.
    pub current: bool,
}

/// A request that may go on.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Rc<Route>,
    /// Tenant of its key.
    pub tenant: Option<Rc<str>>,
}

/// Why a request may not go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// The instance cannot know; another one may.
    Unsure,
    /// No route takes it.
    NoRoute,
    /// Its key is missing or unknown.
    NoKey,
}

/// Decides on a request by its host, path and key.
///
/// # Errors
/// [`Denied`].
pub fn admit(
    knowledge: Knowledge<'_>,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Admitted, Denied> {
    let deployment = knowledge.deployment.ok_or(Denied::Unsure)?;
    let or_unsure = |denied| {
        if knowledge.current {
            denied
        } else {
            Denied::Unsure
        }
    };
    let route = deployment
        .route(host, path)
        .ok_or_else(|| or_unsure(Denied::NoRoute))?;
    let tenant = if route.public {
        None
    } else {
        tenant(deployment, knowledge, key)?
    };
    Ok(Admitted {
        route: Rc::clone(route),
        tenant,
    })
}

/// The tenant of a key; none where requests need no key.
///
/// # Errors
/// [`Denied`].
pub fn tenant(
    deployment: &Deployment,
    knowledge: Knowledge<'_>,
    key: Option<&str>,
) -> Result<Option<Rc<str>>, Denied> {
    let Some(keys) = &deployment.keys else {
        return Ok(None);
    };
    if !knowledge.fresh {
        return Err(Denied::Unsure);
    }
    match key.and_then(|key| keys.get(key)) {
        Some(tenant) => Ok(Some(Rc::clone(tenant))),
        None if knowledge.current => Err(Denied::NoKey),
        None => Err(Denied::Unsure),
    }
}
