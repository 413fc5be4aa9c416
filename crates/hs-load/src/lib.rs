//! Load tool: open-loop arrivals against running entry processes.
