//! Which VMs to run: the cheapest mix that keeps the capacity with the worst zone of reclaimable VMs gone.
//!
//! A start that is refused puts the offer in backoff, and the plan moves on to the next cheapest. What is wanted grows at
//! once, ahead of a known peak too, and shrinks only after it has been lower for a while.

mod backoff;
mod mix;
mod offer;
mod shape;

use base::Millis;
use indexmap::IndexMap;

pub use mix::{Mix, Open};
pub use offer::{Kind, Offer};
pub use shape::Shape;

use self::backoff::Backoff;

/// Bounds of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from a start until the VM serves, model load included.
    pub lead: Millis,
    /// What is wanted shrinks only after it has been lower for this long.
    pub hold: Millis,
    /// A running VM counts as cheaper by this many hundredths, so that small differences of price move nothing.
    pub loyalty: u64,
    /// Capacity wanted above the load, in hundredths.
    pub headroom: u64,
    /// First wait after a refused start; doubled at each further one.
    pub backoff: Millis,
    /// Longest wait after refused starts.
    pub longest_backoff: Millis,
}

impl Settings {
    /// The standard settings.
    pub const fn new() -> Self {
        Self {
            lead: Millis::from_secs(180),
            hold: Millis::from_secs(240),
            loyalty: 10,
            headroom: 15,
            backoff: Millis::from_secs(30),
            longest_backoff: Millis::from_secs(900),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The load that must be met, in units of capacity, at this time of the day.
    Load {
        /// Time since midnight.
        time: Millis,
        /// Units of capacity in use.
        load: u64,
    },
    /// A start was refused.
    Refused(Offer),
    /// A VM of the offer runs.
    Started(Offer),
    /// A VM of the offer has ended or is leaving.
    Ended(Offer),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a VM of this offer.
    Start(Offer),
    /// Drain and stop a VM of this offer.
    Stop(Offer),
}

/// The actions of one step.
pub type Actions = Vec<Action>;

/// A need at a time.
#[derive(Clone, Copy, Debug)]
struct Need {
    at: Millis,
    units: u64,
}

/// The VMs of one endpoint in one region.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    offers: Vec<Offer>,
    running: IndexMap<Offer, u64>,
    starting: IndexMap<Offer, u64>,
    /// VMs among those that run that were told to stop.
    stopping: IndexMap<Offer, u64>,
    backoffs: IndexMap<Offer, Backoff>,
    shape: Shape,
    /// Needs of the last while, with none below a later one.
    needs: Vec<Need>,
}

impl Planner {
    /// A planner that buys from `offers`.
    pub fn new(offers: Vec<Offer>, settings: Settings) -> Self {
        Self {
            settings,
            offers,
            running: IndexMap::new(),
            starting: IndexMap::new(),
            stopping: IndexMap::new(),
            backoffs: IndexMap::new(),
            shape: Shape::new(),
            needs: Vec::new(),
        }
    }

    /// With the load of earlier days.
    pub fn with_shape(mut self, shape: Shape) -> Self {
        self.shape = shape;
        self
    }

    /// Number of VMs that run, by offer.
    pub fn running(&self) -> &IndexMap<Offer, u64> {
        &self.running
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        match event {
            Event::Load { time, load } => return self.take_load(now, time, load),
            Event::Refused(offer) => self.refuse(now, offer),
            Event::Started(offer) => self.start(offer),
            Event::Ended(offer) => self.end(&offer),
        }
        Actions::new()
    }

    fn refuse(&mut self, now: Millis, offer: Offer) {
        less(&mut self.starting, &offer);
        let backoff = self.backoffs.entry(offer).or_default();
        backoff.fail(now, self.settings.backoff, self.settings.longest_backoff);
    }

    fn start(&mut self, offer: Offer) {
        less(&mut self.starting, &offer);
        self.backoffs.swap_remove(&offer);
        *self.running.entry(offer).or_default() += 1;
    }

    fn end(&mut self, offer: &Offer) {
        less(&mut self.running, offer);
        less(&mut self.stopping, offer);
    }

    fn take_load(&mut self, now: Millis, time: Millis, load: u64) -> Actions {
        self.shape.note(time, load);
        let ahead = self.shape.most(time, self.settings.lead);
        let units = load.max(ahead) * (100 + self.settings.headroom);
        let need = self.hold(now, units.div_ceil(100));
        let mix = Mix::cheapest(&self.open_offers(now), need);
        self.move_to(&mix)
    }

    /// The highest need of the last while.
    fn hold(&mut self, now: Millis, units: u64) -> u64 {
        let hold = self.settings.hold;
        self.needs
            .retain(|it| now.since(it.at) < hold && it.units > units);
        self.needs.push(Need { at: now, units });
        self.needs[0].units
    }

    /// The offers with what may be had of each, running VMs a little cheaper.
    fn open_offers(&self, now: Millis) -> Vec<mix::Open> {
        let offers = self.offers.iter();
        offers.map(|offer| self.open(now, offer)).collect()
    }

    fn open(&self, now: Millis, offer: &Offer) -> mix::Open {
        let held = self.held(offer);
        let is_closed = self.backoffs.get(offer).is_some_and(|it| it.is_closed(now));
        mix::Open {
            offer: offer.clone(),
            held,
            most: if is_closed { held } else { offer.most },
            loyalty: self.settings.loyalty,
        }
    }

    /// VMs that run or were asked for, without those that were told to stop.
    fn held(&self, offer: &Offer) -> u64 {
        count(&self.running, offer) + count(&self.starting, offer) - count(&self.stopping, offer)
    }

    fn move_to(&mut self, mix: &Mix) -> Actions {
        let mut actions = Actions::new();
        for offer in self.offers.clone() {
            let wanted = mix.count(&offer);
            let held = self.held(&offer);
            for _ in held..wanted {
                *self.starting.entry(offer.clone()).or_default() += 1;
                actions.push(Action::Start(offer.clone()));
            }
        }
        if actions.is_empty() && self.starting.values().all(|it| *it == 0) {
            self.shrink(mix, &mut actions);
        }
        actions
    }

    /// Drains and stops what the mix has no use for, once all that it wants runs.
    fn shrink(&mut self, mix: &Mix, actions: &mut Actions) {
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

fn less(counts: &mut IndexMap<Offer, u64>, offer: &Offer) {
    if let Some(count) = counts.get_mut(offer) {
        *count = count.saturating_sub(1);
    }
}
