//! News of the holder between entries, and the promises that answer them.

use crate::lease_model::LeaseWorld;
use crate::lease_model::PeerFlight;
use crate::lease_model::ReceivedNews;
use crate::lease_model::entry_name;
use crate::lease_model::lose_oldest;
use crate::lease_step::BrokenLease;
use crate::lease_step::EntryIndex;
use crate::lease_step::MessageSpeed;
use cloverbend::id::FenceToken;
use cloverbend::id::LogOffset;

impl LeaseWorld {
    pub(super) fn exchange(&mut self, from: EntryIndex, to: EntryIndex) {
        if let Some(news) = self.build_news(from, to) {
            self.hear(news);
            self.echo(to, from, MessageSpeed::Prompt);
        }
    }

    pub(super) fn tell(&mut self, from: EntryIndex, to: EntryIndex) {
        self.faults.slow_news -= 1;
        let news = self.build_news(from, to);
        self.flights.extend(news);
        lose_oldest(&mut self.flights);
    }

    pub(super) fn build_news(&self, from: EntryIndex, to: EntryIndex) -> Option<PeerFlight> {
        let fence = self.right_of(from)?.fence;
        let entry = self.entries[from].as_ref()?;
        Some(PeerFlight::News {
            to,
            from,
            news: ReceivedNews {
                life: entry.life,
                sent_at: entry.now,
                fence,
            },
            end: entry.lease.next_offset(),
        })
    }

    pub(super) fn echo(&mut self, from: EntryIndex, to: EntryIndex, speed: MessageSpeed) {
        let Some(entry) = self.entries[from].as_ref() else {
            return;
        };
        if !self.promises(entry) {
            return;
        }
        let Some(news) = entry.received[to] else {
            return;
        };
        let echo = PeerFlight::Echo { to, from, news };
        match speed {
            MessageSpeed::Prompt => self.hear(echo),
            MessageSpeed::Slow => {
                self.faults.slow_news -= 1;
                self.flights.push(echo);
                lose_oldest(&mut self.flights);
            }
        }
    }

    pub(super) fn hear(&mut self, flight: PeerFlight) {
        match flight {
            PeerFlight::News {
                to,
                from,
                news,
                end,
            } => self.hear_news(to, from, news, end),
            PeerFlight::Echo { to, from, news } => self.hear_echo(to, from, news),
        }
    }

    pub(super) fn hear_news(
        &mut self,
        to: EntryIndex,
        from: EntryIndex,
        news: ReceivedNews,
        end: LogOffset,
    ) {
        let is_foreign = self.breaks(BrokenLease::ForeignEnd);
        let Some(entry) = self.entry_mut(to) else {
            return;
        };
        entry.received_at = entry.now;
        let fence = match entry.lease.generation() {
            Some(generation) if is_foreign => FenceToken::of_claim(generation, end),
            _ => news.fence,
        };
        entry.lease.note_holder_gossip(entry.now, fence, end);
        let known = entry.received[from].filter(|known| known.life == news.life);
        if known.is_none_or(|known| known.sent_at < news.sent_at) {
            entry.received[from] = Some(news);
        }
    }

    pub(super) fn hear_echo(&mut self, to: EntryIndex, from: EntryIndex, news: ReceivedNews) {
        let broken = self.setup.broken;
        let is_late = matches!(
            broken,
            BrokenLease::LatePromise | BrokenLease::PromiseWhileClaiming
        );
        let Some(entry) = self.entry_mut(to).filter(|entry| entry.life == news.life) else {
            return;
        };
        let name = entry_name(from);
        let now = if is_late { news.sent_at } else { entry.now };
        entry
            .lease
            .note_promise(now, &name, news.fence, news.sent_at);
    }
}
