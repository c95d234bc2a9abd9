//! Bounded table of label values, so that series are compared by number.

use baobabfall_core::sorted_map::SortedMap;

/// Most distinct label values; further ones share [`OVERFLOW_NAME`].
pub const NAME_LIMIT: usize = 20_000;
/// Most distinct (workspace, model) pairs; further ones share one pair.
pub const PAIR_LIMIT: usize = 65_536;
/// Most distinct histogram layouts of one data set.
pub const LAYOUT_LIMIT: usize = 64;
/// Stands for the label values above the limit.
pub const OVERFLOW_NAME: &str = "(other)";

/// Number of a (workspace, model) pair.
pub type PairId = u32;

/// Label values, pairs of them and histogram bounds, each with a small number.
#[derive(Clone, Debug, Default)]
pub struct LabelTable {
    names: SortedMap<Box<str>, u32>,
    texts: Vec<Box<str>>,
    pairs: SortedMap<(u32, u32), PairId>,
    pair_names: Vec<(u32, u32)>,
    layouts: Vec<Vec<f64>>,
    last_workspace: u32,
    last_model: u32,
}

impl LabelTable {
    /// Number of the pair, adding it when it is new.
    ///
    /// ```
    /// use baobabfall_burn::label_table::LabelTable;
    /// let mut labels = LabelTable::default();
    /// let pair = labels.pair_id("team-a", "small");
    /// assert_eq!(labels.pair_id("team-a", "small"), pair);
    /// assert_eq!(labels.pair(pair), ("team-a", "small"));
    /// ```
    pub fn pair_id(&mut self, workspace: &str, model: &str) -> PairId {
        if self.text(self.last_workspace) != workspace {
            self.last_workspace = self.name_id(workspace);
        }
        if self.text(self.last_model) != model {
            self.last_model = self.name_id(model);
        }
        let key = (self.last_workspace, self.last_model);
        if let Some(pair) = self.pairs.get(&key) {
            return *pair;
        }
        if self.pair_names.len() + 1 >= PAIR_LIMIT {
            let name = self.name_id(OVERFLOW_NAME);
            return self.add_pair((name, name));
        }
        self.add_pair(key)
    }

    fn add_pair(&mut self, key: (u32, u32)) -> PairId {
        let next = u32::try_from(self.pair_names.len()).unwrap_or(u32::MAX);
        let id = *self.pairs.get_or_insert_with(key, || next);
        if id == next {
            self.pair_names.push(key);
        }
        id
    }

    fn text(&self, id: u32) -> &str {
        usize::try_from(id).ok().and_then(|id| self.texts.get(id)).map_or("\u{0}", |text| text)
    }

    fn name_id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let name = if self.texts.len() + 1 < NAME_LIMIT { name } else { OVERFLOW_NAME };
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let id = u32::try_from(self.texts.len()).unwrap_or(u32::MAX);
        self.texts.push(name.into());
        self.names.insert(name.into(), id);
        id
    }

    /// Workspace and model of a pair.
    pub fn pair(&self, pair: PairId) -> (&str, &str) {
        let index = usize::try_from(pair).unwrap_or(usize::MAX);
        let (workspace, model) = self.pair_names.get(index).copied().unwrap_or((u32::MAX, 0));
        (self.text(workspace), self.text(model))
    }

    /// Number of the histogram layout with these upper bounds, or `None` when
    /// there are too many layouts.
    pub fn layout_id(&mut self, bounds: &[f64]) -> Option<usize> {
        if let Some(id) = self.layouts.iter().position(|held| held == bounds) {
            return Some(id);
        }
        if self.layouts.len() >= LAYOUT_LIMIT {
            return None;
        }
        self.layouts.push(bounds.to_vec());
        Some(self.layouts.len() - 1)
    }

    /// Upper bounds of a layout in seconds, without the infinite one.
    pub fn layout(&self, id: usize) -> &[f64] {
        self.layouts.get(id).map_or(&[], Vec::as_slice)
    }
}
