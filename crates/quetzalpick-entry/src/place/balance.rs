//! Spread of the demand for all models over the engines that hold them.

/// Rounds in which each model's work is spread again over its copies, given the work of all other models.
const ROUNDS: usize = 3;

/// `Share` holds the part of a model's work that one of its copies serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Share {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// The work, in thousandths of a request in flight.
    pub(crate) work: f64,
}

/// `Balance` spreads the work of models over engines so that the engines of each model are loaded alike, as far as its work allows.
///
/// The load of an engine is its work divided by its pace.
#[derive(Debug, Clone)]
pub(crate) struct Balance {
    /// Work at each engine.
    pub(crate) work: Vec<f64>,
    /// Shares of each model's copies.
    pub(crate) shares: Vec<Vec<Share>>,
    /// Load of the engines that serve each model.
    pub(crate) loads: Vec<f64>,
}

impl Balance {
    /// Spreads the work of each model over its holders, given as indices of engines with the paces `paces`, where 1 is usual.
    pub(crate) fn new(paces: &[f64], demand: &[f64], holders: Vec<Vec<usize>>) -> Self {
        let mut balance = Self::isolated(paces, demand, holders);
        balance.work = vec![0.0; paces.len()];
        for share in balance.shares.iter().flatten() {
            balance.work[share.engine] += share.work;
        }
        for _ in 0..ROUNDS {
            for (model, work) in demand.iter().enumerate() {
                balance.spread(paces, model, *work);
            }
        }
        balance
    }

    /// Spreads the work of each model evenly over its holders, as if no engine served other models.
    pub(crate) fn isolated(paces: &[f64], demand: &[f64], holders: Vec<Vec<usize>>) -> Self {
        let spread = |(engines, work): (Vec<usize>, &f64)| {
            let capacity: f64 = engines.iter().map(|engine| paces[*engine]).sum();
            let load = if capacity > 0.0 { work / capacity } else { 0.0 };
            let share = |engine: usize| Share {
                engine,
                work: load * paces[engine],
            };
            (load, engines.into_iter().map(share).collect())
        };
        let (loads, shares) = holders.into_iter().zip(demand).map(spread).unzip();
        Self {
            work: vec![0.0; paces.len()],
            shares,
            loads,
        }
    }

    /// Spreads a model's work over its copies so that the least loaded ones reach the same load.
    fn spread(&mut self, paces: &[f64], model: usize, work: f64) {
        let shares = &mut self.shares[model];
        for share in shares.iter_mut() {
            self.work[share.engine] -= share.work;
        }
        let others = |share: &Share| self.work[share.engine] / paces[share.engine];
        shares.sort_by(|a, b| others(a).total_cmp(&others(b)));
        let (mut total, mut capacity, mut load) = (work, 0.0, 0.0);
        for share in shares.iter() {
            if capacity > 0.0 && others(share) >= load {
                break;
            }
            total += self.work[share.engine];
            capacity += paces[share.engine];
            load = total / capacity;
        }
        for share in shares.iter_mut() {
            let other = self.work[share.engine];
            share.work = (load * paces[share.engine] - other).max(0.0);
            self.work[share.engine] = other + share.work;
        }
        self.loads[model] = load;
    }
}
