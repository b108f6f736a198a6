//! Admission of requests by route and key.
//!
//! An instance may be starting, cut off from the store while a key is withdrawn, or late in reading
//! a new route. While its configuration may be out of date, an instance rejects requests as not
//! run. It answers "unknown key" or "no route" only if its configuration is up to date.

use std::rc::Rc;
use std::time::Duration;

use crate::instance::deployment::{Deployment, Route};

/// `Retry-After` of an instance that cannot decide; another instance may be able to.
pub const UNSURE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Configuration of an instance, and how recent it is.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView<'a> {
    /// The configuration, if any was read.
    pub deployment: Option<&'a Deployment>,
    /// Whether every withdrawn key is known as withdrawn.
    pub keys_fresh: bool,
    /// Whether every added route and key is known.
    pub config_current: bool,
}

/// Route and tenant of an admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route of the request.
    pub route: Rc<Route>,
    /// Tenant of the key; none if the request needs no key.
    pub tenant: Option<Rc<str>>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// The configuration may be out of date; another instance may decide.
    Unsure,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
}

/// Admits a request by its host, path and key.
///
/// # Errors
/// [`Denied`] if the request is not admitted.
pub fn admit(
    view: ConfigView<'_>,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Admitted, Denied> {
    let deployment = view.deployment.ok_or(Denied::Unsure)?;
    let or_unsure = |denied| {
        if view.config_current {
            denied
        } else {
            Denied::Unsure
        }
    };
    let route = deployment
        .route(host, path)
        .ok_or_else(|| or_unsure(Denied::NoRoute))?;
    let tenant = if route.keyless {
        None
    } else {
        tenant(deployment, view, key)?
    };
    Ok(Admitted {
        route: Rc::clone(route),
        tenant,
    })
}

/// Returns the tenant of a key, or none if the deployment has no keys.
///
/// # Errors
/// [`Denied`] if the key is unknown or the known keys may be out of date.
pub fn tenant(
    deployment: &Deployment,
    view: ConfigView<'_>,
    key: Option<&str>,
) -> Result<Option<Rc<str>>, Denied> {
    let Some(keys) = &deployment.keys else {
        return Ok(None);
    };
    if !view.keys_fresh {
        return Err(Denied::Unsure);
    }
    match key.and_then(|key| keys.get(key)) {
        Some(tenant) => Ok(Some(Rc::clone(tenant))),
        None if view.config_current => Err(Denied::NoKey),
        None => Err(Denied::Unsure),
    }
}
