//! Simulates the planner against engines with lost answers, delayed orders and lagging reports.

mod ceiling;
mod engine;
mod evacuated;
mod interrupted;
mod limited;
mod limits;
mod moves;
mod repeated;
mod replay;
mod simulation;
