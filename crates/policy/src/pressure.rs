//! Load of a path, relative to what it can bear.

/// Load of a path at the time at which a request would run there.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Pressure;
///
/// let pressure = Pressure { memory: 0.4, start: 1.2 };
/// assert_eq!(pressure.level(), 1.2);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Memory held at the fullest engine of the path, as a fraction of its usable capacity.
    pub memory: f64,
    /// Expected wait for the first event, as a fraction of the latency target.
    pub start: f64,
}

impl Pressure {
    /// The larger of both parts; from 1.0 on, a request would start late or find no memory.
    pub fn level(&self) -> f64 {
        self.memory.max(self.start)
    }
}
