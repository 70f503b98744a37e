//! The faults of the model.

use std::time::Duration;

use ebony_types::ClockTime;
use rand::Rng;

use super::gateway::ModelGateway;
use super::{Event, Fleet, ModelVersion};

const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The silence after which a link is closed.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// The time after which a lost link is open again.
const REDIAL_TIME: Duration = Duration::from_millis(300);

/// The share of the gateways that are cut off together.
const CUT_SHARE: f64 = 0.35;

/// The time after which gateways know a version of the configuration.
const MAX_SPREAD_MS: u64 = 3_000;

impl Fleet {
    pub(crate) fn schedule_faults(&mut self) {
        if !self.options.has_faults {
            return;
        }
        for tenth in 0..self.options.run_time.as_secs() * 10 {
            self.schedule(PING_INTERVAL / 10 * tenth as u32, Event::Pings);
        }
        for second in 2..self.options.run_time.as_secs() {
            if self.rng.random_bool(0.4) {
                let at = Duration::from_secs(second) + self.millis(0, 1_000);
                self.schedule(at, Event::Fault);
            }
        }
    }

    pub(crate) fn inject_fault(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let other = self.rng.random_range(0..self.gateways.len());
        let (now, lasting) = (self.now, self.millis(200, 5_000));
        match self.rng.random_range(0..8) {
            0 | 1 => self.restart(gateway),
            2 => self.gateways[gateway].frozen_until = now + lasting,
            3 => {
                for number in 0..self.gateways.len() {
                    if self.rng.random_bool(CUT_SHARE) {
                        self.gateways[number].cut_until = now + lasting * 2;
                    }
                }
            }
            // A gateway whose list is out of date.
            4 if gateway != other => {
                self.gateways[gateway].list.remove(&other);
            }
            // The link of two gateways that are otherwise sound.
            5 if gateway != other => self.lose_link(gateway, other),
            _ => self.change_quotas(),
        }
    }

    fn change_quotas(&mut self) {
        let (now, version) = (self.now, self.versions.len() as u64);
        let rates = self.options.rates.clone();
        let rates = rates
            .iter()
            .map(|rate| rate * [0.4, 1.0, 1.6][self.rng.random_range(0..3)]);
        let rates: Vec<f64> = rates.collect();
        let mut spread = Duration::ZERO;
        for gateway in 0..self.gateways.len() {
            let delay = self.millis(0, MAX_SPREAD_MS);
            spread = spread.max(delay);
            self.schedule(delay, Event::Configure { gateway, version });
        }
        if let Some(last) = self.versions.last_mut() {
            last.replaced_at = Some(now + spread);
        }
        self.versions.push(ModelVersion {
            rates,
            begun_at: now,
            replaced_at: None,
        });
    }

    /// Ends the process of a gateway and starts it again.
    fn restart(&mut self, gateway: usize) {
        let (now, life) = (self.now, self.gateways[gateway].life + 1);
        let heard_at = self.gateways[gateway].heard_at.clone();
        self.gateways[gateway] = ModelGateway {
            life,
            // It listens again after a time.
            frozen_until: now + Duration::from_millis(300),
            version: self.versions.len() as u64 - 1,
            cut_until: self.gateways[gateway].cut_until,
            heard_at,
            ..ModelGateway::open(gateway, &self.options)
        };
        self.waiting.retain(|(waiting, _), _| *waiting != gateway);
        for other in (0..self.gateways.len()).filter(|other| *other != gateway) {
            self.lose_link(gateway, other);
        }
    }

    fn lose_link(&mut self, gateway: usize, other: usize) {
        let now = self.now;
        self.gateways[gateway].lost_at.insert(other, now);
        self.gateways[other].lost_at.insert(gateway, now);
        self.review_roles(gateway);
        self.review_roles(other);
    }

    /// Lets the gateways whose ping is due receive pongs, closes silent links and opens lost ones.
    pub(crate) fn exchange_pings(&mut self) {
        let (now, gateways) = (self.now, self.gateways.len());
        let phase = (now.as_micros() / 100_000) as usize % 10;
        for gateway in 0..gateways {
            for other in (0..gateways).filter(|other| *other != gateway) {
                let is_cut = |number: usize| self.gateways[number].cut_until > now;
                let is_sound = is_cut(gateway) == is_cut(other) && self.is_up(gateway) && self.is_up(other);
                let lost_at = self.gateways[gateway].lost_at.get(&other).copied();
                match lost_at {
                    Some(lost_at) if is_sound && now.since(lost_at) >= REDIAL_TIME => {
                        self.gateways[gateway].lost_at.remove(&other);
                        self.gateways[other].lost_at.remove(&gateway);
                        self.hear(gateway, other, now);
                    }
                    None if is_sound && (gateway + other) % 10 == phase => self.hear(gateway, other, now),
                    None if self.is_up(gateway)
                        && now.since(self.gateways[gateway].heard_at[other]) >= LINK_TIMEOUT =>
                    {
                        self.gateways[gateway].lost_at.insert(other, now);
                    }
                    _ => {}
                }
            }
            if self.is_up(gateway) {
                self.review_roles(gateway);
            }
            if self.rng.random_bool(0.03) {
                self.gateways[gateway].list = (0..gateways).collect();
            }
        }
    }

    fn hear(&mut self, gateway: usize, other: usize, now: ClockTime) {
        for (own, peer) in [(gateway, other), (other, gateway)] {
            self.gateways[own].heard_at[peer] = now;
            self.gateways[own].silent.remove(&peer);
        }
    }
}
