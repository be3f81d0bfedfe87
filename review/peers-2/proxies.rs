//! The proxies and their clients: messages that arrive, calls, and what endpoints do with them.

use crate::world::{AVOIDS_FOR_MS, Change, Condition, Sums, Table, World};

impl World {
    /// Delivers the messages that are due, and acknowledges those with a mark.
    pub fn deliver(&mut self) {
        let now = self.now();
        while self.messages.front().is_some_and(|message| message.due <= now) {
            let message = self.messages.pop_front().unwrap();
            let p = &mut self.proxies[message.proxy];
            if p.joined.is_none() || p.stream != message.stream {
                continue;
            }
            p.last_message = Some(message.ordered_at);
            p.messages.push(now);
            let recent = p.messages.iter().filter(|at| **at > now - 10_000.0).count();
            self.most_messages = self.most_messages.max(recent);
            if self.site.messages > 0 && recent > self.site.messages as usize {
                let text = format!("messages: proxy {} got {recent} messages within 10 s", message.proxy);
                self.note(format!("RULE BROKEN: {text}"));
                self.broken.push(text);
            }
            let p = &mut self.proxies[message.proxy];
            for change in message.changes {
                match change {
                    Change::Line(table, name, weight) => {
                        let lines = &mut p.tables.entry(table).or_default().lines;
                        if weight > 0.0 { lines.insert(name, weight) } else { lines.remove(&name) };
                    }
                    Change::Clear(table) => {
                        p.tables.insert(table, Table::default());
                    }
                    Change::Bind(classes, table, contents) => {
                        classes.iter().for_each(|&class| p.bound[class] = Some(table));
                        p.tables.insert(table, contents);
                    }
                    Change::Withdraw(name, true) => p.withdrawn.push(name),
                    Change::Withdraw(name, false) => p.withdrawn.retain(|other| *other != name),
                    Change::Level(table, classes, rate, again) => {
                        let levels = &mut p.tables.entry(table).or_default().levels;
                        classes.iter().for_each(|&class| {
                            levels.insert(class, (rate, again));
                        });
                    }
                }
            }
            if let Some(stamp) = message.mark {
                let latency = now - message.ordered_at;
                let node = message.proxy;
                self.news(&format!(
                    "{{\"jsonrpc\":\"2.0\",\"method\":\"ack\",\"params\":{{\"node\":{node},\"nonce\":{stamp},\
                     \"latency\":{latency:.1}}}}}"
                ));
            }
        }
    }

    /// The lines that a proxy can pick for a class. A class of the own zone goes to endpoints of that zone only.
    pub fn lines(&self, proxy: usize, class: usize) -> Vec<(usize, f64)> {
        let p = &self.proxies[proxy];
        let lines = match p.bound[class] {
            Some(table) => p.tables.get(&table).map(|table| &table.lines),
            None => Some(&p.standing),
        };
        let Some(lines) = lines else { return Vec::new() };
        let usable = lines.iter().filter(|(name, weight)| **weight > 0.0 && !p.withdrawn.contains(name));
        let usable = usable.filter_map(|(name, weight)| {
            let index = self.endpoints.iter().position(|endpoint| endpoint.name == *name)?;
            Some((index, *weight))
        });
        usable.filter(|(index, _)| self.is_open_to(*index, proxy, class)).collect()
    }

    pub fn is_open_to(&self, endpoint: usize, proxy: usize, class: usize) -> bool {
        !self.site.classes[class].own_zone || self.endpoints[endpoint].zone == self.proxies[proxy].zone
    }

    fn pick(&mut self, lines: &[(usize, f64)], not: Option<usize>) -> Option<usize> {
        let lines: Vec<_> = lines.iter().filter(|(index, _)| Some(*index) != not).collect();
        let sum: f64 = lines.iter().map(|(_, weight)| weight).sum();
        let mut at = self.draw() * sum;
        for (index, weight) in &lines {
            at -= weight;
            if at <= 0.0 {
                return Some(*index);
            }
        }
        lines.last().map(|(index, _)| *index)
    }

    /// Lets clients call for `step` milliseconds. Also a proxy without a stream works with what it holds.
    pub fn work(&mut self, step: f64) {
        let now = self.now();
        for proxy in 0..self.proxies.len() {
            for class in 0..self.site.classes.len() {
                let rate = self.proxies[proxy].rates[class];
                let level = self.proxies[proxy].bound[class]
                    .and_then(|table| self.proxies[proxy].tables.get(&table)?.levels.get(&class).copied());
                let (gate, again) = level.unwrap_or((f64::INFINITY, 1));
                let is_share = self.site.admit == "ratio";
                let p = &mut self.proxies[proxy];
                p.credit[class] += rate * step / 1000.0;
                if !is_share {
                    p.gate[class] = (p.gate[class] + (gate * step / 1000.0).min(1e6)).min(gate.max(1.0));
                }
                while self.proxies[proxy].credit[class] >= 1.0 {
                    self.proxies[proxy].credit[class] -= 1.0;
                    if self.proxies[proxy].joined.is_some() {
                        self.demand.entry((proxy, class)).or_default().0 += 1.0;
                    }
                    if is_share {
                        if self.draw() >= gate {
                            continue;
                        }
                    } else if self.proxies[proxy].gate[class] < 1.0 {
                        continue;
                    } else {
                        self.proxies[proxy].gate[class] -= 1.0;
                    }
                    self.call(now, proxy, class, again);
                }
            }
        }
        self.serve(now, step);
        self.check_bare(now);
    }

    fn call(&mut self, now: f64, proxy: usize, class: usize, again: u32) {
        let all = self.lines(proxy, class);
        let avoids = &self.proxies[proxy].avoids;
        let kept_away = |index: &usize| avoids.get(index).is_some_and(|(_, until)| now < *until);
        let kept: Vec<(usize, f64)> = all.iter().filter(|(index, _)| !kept_away(index)).copied().collect();
        let lines = if kept.is_empty() { all } else { kept };
        let Some(first) = self.pick(&lines, None) else {
            *self.refused.entry(((now / 1000.0) as u64, proxy, class)).or_default() += 1;
            return;
        };
        // A further try follows only the proof that the first one never ran.
        if !self.attempt(now, proxy, class, first) && again > 0 {
            if let Some(second) = self.pick(&lines, Some(first)) {
                self.attempt(now, proxy, class, second);
            }
        }
    }

    /// Sends one call to an endpoint. Returns whether it may have run.
    fn attempt(&mut self, now: f64, proxy: usize, class: usize, endpoint: usize) -> bool {
        self.check_drain(now, proxy, endpoint);
        *self.calls.entry(((now / 1000.0) as u64, endpoint)).or_default() += 1;
        let zone = self.proxies[proxy].zone;
        let work = self.site.classes[class].work;
        let knows = self.knows_start(now, proxy, endpoint);
        let capacity = self.capacity_at(endpoint, now);
        let e = &mut self.endpoints[endpoint];
        let mut unheard = Sums::default();
        // This pilot hears of its own proxies only.
        let is_joined = self.proxies[proxy].joined.is_some();
        let sums = if is_joined { self.met.entry((zone, endpoint)).or_default() } else { &mut unheard };
        match e.condition {
            Condition::Up if e.fallen.is_none() && e.queue < 2.0 * capacity => {
                e.queue += work;
                *self.answered.entry(((now / 1000.0) as u64, endpoint)).or_default() += 1;
                e.work.push_back((now, work, knows));
                sums.total += 1.0;
                sums.time += 100.0 + 1000.0 * e.queue / capacity;
                self.proxies[proxy].avoids.remove(&endpoint);
                true
            }
            Condition::Up => {
                // The queue is full. The endpoint refuses, and the work has come to it all the same.
                e.work.push_back((now, work, knows));
                sums.total += 1.0;
                sums.errors += 1.0;
                self.failed(now, proxy, endpoint);
                false
            }
            Condition::Leaving | Condition::Down => {
                sums.total += 1.0;
                sums.errors += 1.0;
                self.failed(now, proxy, endpoint);
                false
            }
        }
    }

    pub fn failed(&mut self, now: f64, proxy: usize, endpoint: usize) {
        let (ejects, avoids) = (self.site.ejects, &mut self.proxies[proxy].avoids);
        let entry = avoids.entry(endpoint).or_default();
        entry.0 += 1;
        if ejects > 0 && entry.0 >= ejects {
            *entry = (0, now + AVOIDS_FOR_MS);
        }
    }

    /// Whether a proxy's last message was sent knowing of the endpoint's start, or the pilot has known of it for the grace.
    fn knows_start(&self, now: f64, proxy: usize, endpoint: usize) -> bool {
        let Some(told) = self.endpoints[endpoint].told_started else { return false };
        now >= told + self.site.grace_ms || self.proxies[proxy].last_message.is_some_and(|sent| sent >= told)
    }

    fn serve(&mut self, now: f64, step: f64) {
        for index in 0..self.endpoints.len() {
            let capacity = self.capacity_at(index, now) * step / 1000.0;
            let e = &mut self.endpoints[index];
            let busy = (e.queue / capacity).min(1.0);
            e.utilization += 0.02 * (busy - e.utilization);
            e.queue = (e.queue - capacity).max(0.0);
            self.check_cold(index, now);
        }
    }
}
