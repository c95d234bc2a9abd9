//! Report on the service-level burn of a baobabfall fleet.
//!
//! Metrics of routers, scraped now or recorded before, are merged into one
//! tally per objective and window. Histograms are merged bucket by bucket,
//! counters survive restarts, and missing samples are never counted as good.

pub mod burn_plot;
pub mod burn_rate;
pub mod cli;
pub mod error;
pub mod fleet_merge;
pub mod html_report;
pub mod label_table;
pub mod metric_text;
pub mod node_scrape;
pub mod objective_tally;
pub mod objectives;
pub mod options;
pub mod parallel_merge;
pub mod recorder;
pub mod report;
pub mod run;
pub mod sample_generator;
pub mod samples;
pub mod scraper;
pub mod text_report;
pub mod thinner;
pub mod units;
