//! Regions in which requests may be processed.

use std::sync::Arc;

use crate::{Route, Workspace};

/// The regions that the route and the workspace of a request allow. Where both name some, both restrictions apply.
#[derive(Clone, Copy, Debug)]
pub struct Residency<'a> {
    route: &'a [Arc<str>],
    workspace: &'a [Arc<str>],
}

impl<'a> Residency<'a> {
    /// Creates the restrictions of a request.
    pub fn new(route: &'a Route, workspace: Option<&'a Workspace>) -> Self {
        Self {
            route: &route.allowed_regions,
            workspace: workspace.map_or(&[], |it| &it.allowed_regions),
        }
    }

    /// Whether there are regions in which the request may not be processed.
    pub const fn is_restricted(&self) -> bool {
        !self.route.is_empty() || !self.workspace.is_empty()
    }

    /// Whether the request may be processed in a region, which may be unknown.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let lists = [self.route, self.workspace];
        lists.iter().all(|list| list.is_empty() || includes(list, region))
    }
}

/// How well a node suits callers of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// All routes allow its region, or it is that of the caller.
    Suitable,
    /// Some of the routes that name regions allow its region.
    Partly,
    /// None of them does.
    Unsuitable,
}

impl Suitability {
    /// Determines how well a node in a region, which may be unknown, suits a caller in another one, for these routes.
    pub fn new<'a, I>(routes: I, caller: Option<&str>, region: Option<&str>) -> Self
    where
        I: Iterator<Item = &'a Route>,
    {
        let lists = routes.map(|it| it.allowed_regions.as_slice());
        let (mut restricted, mut allowing) = (0, 0);
        for list in lists.filter(|it| !it.is_empty()) {
            restricted += 1;
            allowing += usize::from(includes(list, region));
        }
        if allowing == restricted || (region.is_some() && region == caller) {
            Self::Suitable
        } else if allowing > 0 {
            Self::Partly
        } else {
            Self::Unsuitable
        }
    }
}

fn includes(list: &[Arc<str>], region: Option<&str>) -> bool {
    region.is_some_and(|region| list.iter().any(|it| **it == *region))
}
