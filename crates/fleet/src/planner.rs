//! Plans which VMs to run: the cheapest mix that keeps enough capacity when any one zone of reclaimable VMs is lost.
//!
//! A refused start puts the offer into backoff, and the plan falls back to the next cheapest offers. The need rises
//! immediately, also ahead of a peak that earlier days showed, and falls only after it has been lower for a while.

mod backoff;
mod mix;
mod offer;
mod profile;

use base::Millis;
use indexmap::IndexMap;

pub use mix::{Availability, Mix};
pub use offer::{Kind, Offer};
pub use profile::Profile;

use self::backoff::Backoff;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from the start of a VM until it serves, including the model load.
    pub lead_time: Millis,
    /// The need must have been lower for this long before VMs are stopped.
    pub scale_down_delay: Millis,
    /// Discount on running VMs, in percent, so that small price differences do not cause replacements.
    pub running_discount: u64,
    /// Capacity to keep above the load, in percent.
    pub headroom: u64,
    /// Backoff after the first refused start; doubles with each further one.
    pub initial_backoff: Millis,
    /// Maximum backoff after refused starts.
    pub max_backoff: Millis,
}

impl Settings {
    /// Returns the default settings.
    pub const fn new() -> Self {
        Self {
            lead_time: Millis::from_secs(180),
            scale_down_delay: Millis::from_secs(240),
            running_discount: 10,
            headroom: 15,
            initial_backoff: Millis::from_secs(30),
            max_backoff: Millis::from_secs(900),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}

/// Input to the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The current load.
    Load {
        /// Time since midnight.
        time: Millis,
        /// Load in units of capacity.
        load: u64,
    },
    /// The start of a VM of the offer was refused.
    StartRefused(Offer),
    /// A VM of the offer is running.
    Started(Offer),
    /// A VM of the offer has ended or is leaving.
    Ended(Offer),
}

/// Output of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a VM of this offer.
    Start(Offer),
    /// Drain and stop a VM of this offer.
    Stop(Offer),
}

/// Actions that result from one event.
pub type Actions = Vec<Action>;

/// Capacity needed at a point in time.
#[derive(Clone, Copy, Debug)]
struct Need {
    at: Millis,
    units: u64,
}

/// Plans the VMs of one endpoint in one region.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    offers: Vec<Offer>,
    running: IndexMap<Offer, u64>,
    starting: IndexMap<Offer, u64>,
    /// Running VMs that were told to stop.
    stopping: IndexMap<Offer, u64>,
    backoffs: IndexMap<Offer, Backoff>,
    profile: Profile,
    /// Needs within the scale-down delay, oldest first, without those that a later need reaches or exceeds.
    needs: Vec<Need>,
}

impl Planner {
    /// Creates a planner that buys from `offers`.
    pub fn new(offers: Vec<Offer>, settings: Settings) -> Self {
        Self {
            settings,
            offers,
            running: IndexMap::new(),
            starting: IndexMap::new(),
            stopping: IndexMap::new(),
            backoffs: IndexMap::new(),
            profile: Profile::new(),
            needs: Vec::new(),
        }
    }

    /// Sets the load profile of earlier days.
    pub fn with_profile(mut self, profile: Profile) -> Self {
        self.profile = profile;
        self
    }

    /// Returns the number of running VMs of each offer.
    pub fn running(&self) -> &IndexMap<Offer, u64> {
        &self.running
    }

    /// Applies one event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        match event {
            Event::Load { time, load } => return self.apply_load(now, time, load),
            Event::StartRefused(offer) => self.record_refusal(now, offer),
            Event::Started(offer) => self.record_start(offer),
            Event::Ended(offer) => self.record_end(&offer),
        }
        Actions::new()
    }

    fn record_refusal(&mut self, now: Millis, offer: Offer) {
        decrement(&mut self.starting, &offer);
        let backoff = self.backoffs.entry(offer).or_default();
        backoff.record_refusal(now, self.settings.initial_backoff, self.settings.max_backoff);
    }

    fn record_start(&mut self, offer: Offer) {
        decrement(&mut self.starting, &offer);
        self.backoffs.swap_remove(&offer);
        *self.running.entry(offer).or_default() += 1;
    }

    fn record_end(&mut self, offer: &Offer) {
        decrement(&mut self.running, offer);
        decrement(&mut self.stopping, offer);
    }

    fn apply_load(&mut self, now: Millis, time: Millis, load: u64) -> Actions {
        self.profile.record(time, load);
        let expected = self.profile.peak(time, self.settings.lead_time);
        let units = load.max(expected) * (100 + self.settings.headroom);
        let need = self.highest_recent_need(now, units.div_ceil(100));
        let mix = Mix::cheapest(&self.available_offers(now), need);
        self.apply_mix(&mix)
    }

    /// Records a need and returns the highest one within the scale-down delay.
    fn highest_recent_need(&mut self, now: Millis, units: u64) -> u64 {
        let delay = self.settings.scale_down_delay;
        self.needs
            .retain(|it| now.since(it.at) < delay && it.units > units);
        self.needs.push(Need { at: now, units });
        self.needs[0].units
    }

    /// Returns the availability of each offer.
    fn available_offers(&self, now: Millis) -> Vec<mix::Availability> {
        let offers = self.offers.iter();
        offers.map(|offer| self.availability(now, offer)).collect()
    }

    fn availability(&self, now: Millis, offer: &Offer) -> mix::Availability {
        let current = self.current(offer);
        let is_backing_off = self.backoffs.get(offer).is_some_and(|it| it.is_active(now));
        mix::Availability {
            offer: offer.clone(),
            running: current,
            max: if is_backing_off { current } else { offer.max },
            running_discount: self.settings.running_discount,
        }
    }

    /// Returns the number of VMs that run or are starting, without those that were told to stop.
    fn current(&self, offer: &Offer) -> u64 {
        count(&self.running, offer) + count(&self.starting, offer) - count(&self.stopping, offer)
    }

    fn apply_mix(&mut self, mix: &Mix) -> Actions {
        let mut actions = Actions::new();
        for offer in self.offers.clone() {
            let wanted = mix.count(&offer);
            let current = self.current(&offer);
            for _ in current..wanted {
                *self.starting.entry(offer.clone()).or_default() += 1;
                actions.push(Action::Start(offer.clone()));
            }
        }
        if actions.is_empty() && self.starting.values().all(|it| *it == 0) {
            self.stop_surplus(mix, &mut actions);
        }
        actions
    }

    /// Stops the VMs that the mix does not include; called once all VMs that it includes are running.
    fn stop_surplus(&mut self, mix: &Mix, actions: &mut Actions) {
        for (offer, running) in &self.running {
            let stopping = self.stopping.entry(offer.clone()).or_default();
            while *running - *stopping > mix.count(offer) {
                *stopping += 1;
                actions.push(Action::Stop(offer.clone()));
            }
        }
    }
}

fn count(counts: &IndexMap<Offer, u64>, offer: &Offer) -> u64 {
    counts.get(offer).copied().unwrap_or(0)
}

fn decrement(counts: &mut IndexMap<Offer, u64>, offer: &Offer) {
    if let Some(count) = counts.get_mut(offer) {
        *count = count.saturating_sub(1);
    }
}
