//! The loss of a zone in the load model: its notice, the work that moves, the end
//! of its engines, and others in their place.

use crate::engine_model::EngineModel;
use crate::load_model::LoadEvent;
use crate::load_model::LoadWorld;
use crate::load_model::NOTICE;
use crate::load_model::REPLACEMENT;
use crate::load_run::MoveRule;
use crate::load_run::Scenario;

impl LoadWorld {
    pub(super) fn in_lost_zone(&self) -> Vec<usize> {
        let lost = |index: &usize| self.engines[*index].zone == 0;
        (0..self.engines.len()).filter(lost).collect()
    }

    pub(super) fn notice(&mut self) {
        for index in self.in_lost_zone() {
            let vm = self.engines[index].vm.clone();
            for table in &mut self.tables {
                table.set_leaving(&vm);
            }
            if self.run.moves != MoveRule::Stay {
                self.move_work(index);
            }
        }
        self.after(NOTICE, LoadEvent::Reclaim);
    }

    pub(super) fn move_work(&mut self, index: usize) {
        let mut ids: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.engine == index)
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            self.engines[index].model.cancel(id);
            let mut imported = 0;
            if let Some(request) = self.requests.get_mut(&id) {
                request.moves = (request.moves & 0x7fff_ffff) + 1;
                if self.run.moves == MoveRule::MoveKv {
                    imported = request.position;
                }
            }
            self.moved += 1;
            self.send(id, imported);
            if self.run.moves == MoveRule::MoveKv {
                self.import_prompt(id);
            }
        }
    }

    /// Brings the prompt's KV cache along with a moved request that had begun.
    pub(super) fn import_prompt(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.position > 0 {
            let blocks = request.blocks.clone();
            self.engines[request.engine].model.import(&blocks);
        }
    }

    pub(super) fn reclaim(&mut self) {
        for index in self.in_lost_zone() {
            let vm = self.engines[index].vm.clone();
            for table in &mut self.tables {
                table.remove(&vm);
            }
            if self.run.moves == MoveRule::Stay {
                let rule = self.run.moves;
                self.run.moves = MoveRule::Recompute;
                self.move_work(index);
                self.run.moves = rule;
            }
            let engine = &mut self.engines[index];
            engine.up = false;
            engine.generation += 1;
            engine.stepping = false;
            engine.pending.clear();
        }
        if self.run.scenario == Scenario::ZoneReclaim {
            self.after(REPLACEMENT, LoadEvent::Replace);
        }
    }

    pub(super) fn replace(&mut self) {
        let lost = self.in_lost_zone();
        for index in lost {
            let name = format!("engine-{index}-new");
            let engine = &mut self.engines[index];
            engine.model = EngineModel::new(self.run.shape);
            engine.vm = name.parse().expect("a valid name");
            engine.up = true;
            self.add_to_tables(index);
        }
    }
}
