//! The relay's side of the world: joins, news, and the orders of a call.

use std::collections::BTreeMap;

use crate::json::Json;
use crate::world::{Change, MESSAGE_DELAY_MS, Message, Table, World};

impl World {
    pub fn join(&mut self, proxy: usize, cold: bool) {
        let now = self.now();
        let p = &mut self.proxies[proxy];
        p.joined = Some(now);
        p.stream += 1;
        p.messages.clear();
        p.last_message = None;
        p.ordered.iter_mut().for_each(|table| *table = None);
        let line = self.hello(proxy, cold);
        self.news(&line);
    }

    pub fn hello(&self, proxy: usize, cold: bool) -> String {
        let p = &self.proxies[proxy];
        let rate: f64 = p.rates.iter().sum();
        format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"hello\",\"params\":{{\"node\":{proxy},\"locality\":\"{}\",\"w\":{rate},\
             \"cold\":{cold}}}}}",
            self.site.zones[p.zone]
        )
    }

    pub fn news(&mut self, line: &str) {
        use std::io::Write;
        let text = format!("{line}\n");
        self.subscribers.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    fn classes_of(&self, order: &Json) -> Option<Vec<usize>> {
        let Some(names) = order.list("for") else { return Some((0..self.site.classes.len()).collect()) };
        names
            .iter()
            .map(|name| match name {
                Json::Text(name) => self.site.classes.iter().position(|class| class.name == name),
                _ => None,
            })
            .collect()
    }

    /// Carries out a call; returns the number of orders taken.
    pub fn commit(&mut self, orders: &[Json]) -> usize {
        let now = self.now();
        let mut by_proxy: BTreeMap<usize, Vec<Change>> = BTreeMap::new();
        let mut mark = None;
        let mut taken = 0;
        for order in orders {
            if self.apply(order, &mut by_proxy, &mut mark).is_none() {
                self.note(format!("relay halts at {order}"));
                break;
            }
            self.note(format!("order {order}"));
            taken += 1;
        }
        self.note(format!("the relay answers: {taken} of {} orders", orders.len()));
        if let Some((_, true)) = mark {
            for proxy in 0..self.proxies.len() {
                if self.proxies[proxy].joined.is_some() {
                    by_proxy.entry(proxy).or_default();
                }
            }
        }
        for (proxy, changes) in by_proxy {
            let stream = self.proxies[proxy].stream;
            self.messages.push_back(Message {
                due: now + MESSAGE_DELAY_MS,
                ordered_at: now,
                proxy,
                stream,
                changes,
                mark: mark.map(|(stamp, _)| stamp),
            });
        }
        taken
    }

    fn apply(
        &mut self,
        order: &Json,
        by_proxy: &mut BTreeMap<usize, Vec<Change>>,
        mark: &mut Option<(u32, bool)>,
    ) -> Option<()> {
        let cluster = order.number("cluster").map(|table| table as u32);
        match order.text("verb")? {
            "share" => {
                let (table, weight) = (cluster?, order.number("w").filter(|weight| *weight >= 0.0)?);
                let name = order.text("endpoint")?.to_owned();
                self.endpoints.iter().find(|endpoint| endpoint.name == name && endpoint.ever_listed)?;
                let lines = &mut self.tables.entry(table).or_default().lines;
                if weight > 0.0 { lines.insert(name.clone(), weight) } else { lines.remove(&name) };
                self.tell_users(table, Change::Line(table, name, weight), by_proxy);
            }
            "clear" => {
                self.tables.insert(cluster?, Table::default());
                self.tell_users(cluster?, Change::Clear(cluster?), by_proxy);
            }
            "bind" => {
                let proxy = order.number("node")? as usize;
                let classes = self.classes_of(order)?;
                let table = self.tables.entry(cluster?).or_default().clone();
                let p = self.proxies.get_mut(proxy)?;
                p.joined?;
                classes.iter().for_each(|&class| p.ordered[class] = cluster);
                by_proxy.entry(proxy).or_default().push(Change::Bind(classes, cluster?, table));
            }
            verb @ ("withdraw" | "restore") => {
                let name = order.text("endpoint")?.to_owned();
                self.endpoints.iter().find(|endpoint| endpoint.name == name)?;
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].joined.is_some() {
                        let change = Change::Withdraw(name.clone(), verb == "withdraw");
                        by_proxy.entry(proxy).or_default().push(change);
                    }
                }
            }
            "admit" => {
                let (table, rate) = (cluster?, order.number("gate").filter(|rate| *rate >= 0.0)?);
                let again = order.number("again")? as u32;
                let classes = self.classes_of(order)?;
                let levels = &mut self.tables.entry(table).or_default().levels;
                classes.iter().for_each(|&class| {
                    levels.insert(class, (rate, again));
                });
                self.tell_users(table, Change::Level(table, classes, rate, again), by_proxy);
            }
            "mark" => *mark = Some((order.number("stamp")? as u32, order.number("set")? > 0.0)),
            _ => return None,
        }
        Some(())
    }

    fn tell_users(&self, table: u32, change: Change, by_proxy: &mut BTreeMap<usize, Vec<Change>>) {
        for (index, proxy) in self.proxies.iter().enumerate() {
            if proxy.joined.is_some() && proxy.ordered.contains(&Some(table)) {
                by_proxy.entry(index).or_default().push(change.clone());
            }
        }
    }
}
