//! The settings of a small deployment, in the form of the users' wire page.

/// What a scenario chooses of its deployment.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub proxies: usize,
    pub pilots: usize,
    pub grace_ms: f64,
    pub blackhole_ms: f64,
    pub warm_up_ms: f64,
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub tip_after_ms: f64,
    pub messages: u32,
    pub cross_zone: f64,
    /// `rps`: a level is in requests a second at each proxy; `ratio`: a share.
    pub admit: &'static str,
    /// A proxy keeps away from an endpoint after so many of its own tries in a row failed; 0: never.
    pub ejects: u32,
    pub lines_per_s: f64,
    pub per_message: f64,
    pub standing: usize,
    /// The name of the load report's second value.
    pub second_field: &'static str,
}

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub own_zone: bool,
    /// The work of one request, in seconds of a warm endpoint's time.
    pub work: f64,
}

impl Site {
    pub fn settings(&self) -> String {
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let classes = list(
            self.classes
                .iter()
                .map(|class| {
                    format!(
                        "{{\"deadline_ms\":6000.0,\"group\":\"all\",\"idempotency\":\"pure\",\"late_worth\":0.1,\
                         \"name\":\"{}\",\"on_time_ms\":2000.0,\"repeat_window_ms\":5000.0,\"worth\":1.0}}",
                        class.name
                    )
                })
                .collect(),
        );
        let own = list(self.classes.iter().map(|class| class.own_zone.to_string()).collect());
        let writers = list(self.classes.iter().map(|_| "false".to_owned()).collect());
        let zones = list(self.zones.iter().map(|zone| format!("\"{zone}\"")).collect());
        format!(
            "{{\"balancers\":{pilots},\"classes\":{classes},\
             \"deductions\":{{\"connection\":0.02,\"cross_zone\":{cross},\"handshake\":0.02,\"late_fail\":0.03,\
             \"moves\":0.0,\"peer\":0.0,\"probe\":0.02,\"registry_mode\":0.0,\"waste\":0.03}},\
             \"domain\":{{\"admit\":\"{admit}\",\"backlog\":{lines},\"base_mode\":1,\"blackhole_ms\":{blackhole},\
             \"buffer_for_ms\":300.0,\"choice\":\"lottery\",\"class_own_zone\":{own},\"ejects\":{ejects},\
             \"handover_fee\":0.01,\"homed_by_zone\":true,\"in_flight_max_ms\":4020.0,\"ingest_rate\":400.0,\
             \"keeps_writing_ms\":2500.0,\"key_ranges\":0,\"late_ms\":176.0,\"lines_per_s\":{lines},\
             \"messages_over_ms\":10000.0,\"per_message\":{per_message},\"per_try\":1.0,\"proxy_count\":{proxies},\
             \"push_delay_max_ms\":440.0,\"push_price\":0.04,\"pushes_allowed\":{messages},\
             \"report_every_ms\":1000.0,\"single_writer\":false,\"sockets_min\":158.0,\"standing\":{standing},\
             \"warm_keys\":false,\"writers\":{writers}}},\
             \"family\":\"control\",\
             \"goal\":{{\"whole\":0.5,\"worst_class\":0.3,\"worst_tenant\":0.0,\"worst_window\":0.2}},\
             \"limits\":{{\"conn_idle_ms\":15000.0,\"connect_timeout_ms\":300.0,\"cpu_us_per_s\":650000,\
             \"may_tell\":false,\"probes\":true,\"streams_per_conn\":32}},\
             \"me\":0,\"models\":[\"type-a\",\"type-b\"],\"my_zone\":0,\"registry_mode\":\"pushed\",\
             \"report\":{{\"fields\":[\"busy\",\"{second}\"],\"source\":\"piggyback\"}},\"round_ms\":4.0,\
             \"rules\":{{\"fall_multiple\":{fall},\"must_ask_in_ms\":10000.0,\"start_capacity\":{start},\
             \"stop_sending_within_ms\":{grace},\"tip_after_ms\":{tip},\"warm_up_ms\":{warm}}},\
             \"value_by\":\"request\",\"weight_source\":\"rough\",\"zones\":{zones}}}",
            pilots = self.pilots,
            admit = self.admit,
            lines = self.lines_per_s,
            ejects = self.ejects,
            per_message = self.per_message,
            standing = self.standing,
            second = self.second_field,
            cross = self.cross_zone,
            blackhole = self.blackhole_ms,
            proxies = self.proxies,
            messages = self.messages,
            fall = self.fall_multiple,
            start = self.start_capacity,
            grace = self.grace_ms,
            tip = self.tip_after_ms,
            warm = self.warm_up_ms,
        )
    }
}
