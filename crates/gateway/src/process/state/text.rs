//! The operators' text in force, and how the gates take on a new one.

use std::sync::Arc;

use fireflyhoist_policy::id;
use fireflyhoist_policy::rank::Ranks;
use fireflyhoist_policy::route::{Service, Table, Text};

use crate::process::service_gate::ServiceGate;
use crate::process::state::Process;

impl Process {
    /// Returns the configuration text in force.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.read().clone()
    }

    /// Returns the revision of the text in force; 0 before the first text.
    pub(crate) fn revision(&self) -> u64 {
        self.table.read().as_ref().map_or(0, |table| table.text().revision)
    }

    /// Puts a text in force if it is the first one or its revision is higher than that of the
    /// current one; returns whether it did.
    ///
    /// Texts arrive out of order: from the registry, from peers and from a registry that serves
    /// stale data. The highest revision wins and a lower one is never applied, so their order does
    /// not matter.
    pub(crate) fn apply_text(&self, text: Text, source: &str) -> bool {
        // Two texts that arrive together must not leave the older one in the gates.
        let _applying = self.applying_text.lock();
        let (revision, before) = (text.revision, self.revision());
        if revision <= before && self.table().is_some() {
            return false;
        }
        let table = Arc::new(Table::new(text));
        // Routes may lead to a new service as soon as the table is in place, so its gate must know
        // its targets by then.
        self.open_gates(&table);
        self.fill_gates();
        *self.table.write() = Some(Arc::clone(&table));
        self.after_target_changes();
        ::log::info!(
            revision = revision, before = before, source = source,
            routes = table.text().routes.len(); "text in force"
        );
        true
    }

    /// Returns a service as described by the newest text that has it, also if that is no longer in
    /// force.
    pub(crate) fn service(&self, name: &id::Service) -> Option<Service> {
        self.services.read().get(name).cloned()
    }

    fn open_gates(&self, table: &Table) {
        let services = table.text().services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        self.services.write().extend(services);
        let order = self.order.lock().clone();
        let objectives = table.text().answer_objectives();
        let longest_pauses = table.text().longest_pauses();
        let ranks = Arc::new(Ranks::of(table.text()));
        let mut gates = self.gates.write();
        for service in &table.text().services {
            let gate = gates.entry(service.name.clone());
            let gate = gate
                .or_insert_with(|| ServiceGate::with_settings(self.clock, self.gate_settings()));
            gate.set_order(order.clone());
            gate.set_scheduling(self.scheduling());
            gate.set_own_domain(self.settings.domain.clone());
            if let Some(engine) = &service.engine {
                let longest = longest_pauses.get(&service.name).copied();
                gate.set_pauses(longest, engine.tokens_per_event);
            }
            gate.set_ranks(&ranks);
            if service.engine.is_none()
                && let Some(objective) = objectives.get(&service.name)
            {
                gate.set_answer_objective(*objective);
            }
        }
    }
}
