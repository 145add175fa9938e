//! The stand-ins around the daemons, all in one process.

use std::{fs, io, net::SocketAddr, path::Path};

use serde_json::{Value, json};

use crate::{
    engine::{Engine, EngineSettings},
    platform::Platform,
    service::Service,
};

/// The size of a world.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// The number of daemons for which a settings file is written.
    pub daemons: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of endpoints of the plain service.
    pub services: usize,
    /// The number of data centres over which everything is spread.
    pub data_centres: usize,
}

/// A running platform, engines and a plain service.
#[derive(Debug)]
pub struct World {
    /// The platform.
    pub platform: Platform,
    /// The engines, each with its data centre.
    pub engines: Vec<(String, Engine)>,
    /// The endpoints of the plain service, each with its data centre.
    pub services: Vec<(String, Service)>,
}

const DATA_CENTRES: [&str; 4] = ["krk-north", "krk-south", "tarnow", "katowice"];

/// Returns the name of the data centre of the item with this index, out of
/// `count` data centres.
///
/// # Panics
///
/// Panics if `count` is zero.
#[must_use]
pub fn data_centre(index: usize, count: usize) -> String {
    let index = index % count;
    DATA_CENTRES
        .get(index)
        .map_or_else(|| format!("dc-{index}"), |name| (*name).to_owned())
}

impl World {
    /// Starts the platform, the engines and the plain service.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    ///
    /// # Panics
    ///
    /// Panics if there are engines or services but no data centres.
    pub async fn try_start(size: WorldSize, engine: EngineSettings) -> io::Result<Self> {
        const SERVICE_WORK_MS: u64 = 2;
        let mut engines = Vec::new();
        for index in 0..size.engines {
            engines.push((
                data_centre(index, size.data_centres),
                Engine::try_start(engine).await?,
            ));
        }
        let mut services = Vec::new();
        for index in 0..size.services {
            services.push((
                data_centre(index, size.data_centres),
                Service::try_start(SERVICE_WORK_MS).await?,
            ));
        }
        Ok(Self {
            platform: Platform::try_start().await?,
            engines,
            services,
        })
    }

    /// Returns a configuration that names all engines and plain services.
    #[must_use]
    pub fn config(&self) -> Value {
        let endpoint = |address: SocketAddr, data_centre: &str, checks_fence: bool| json!({"address": address, "data_centre": data_centre, "checks_fence": checks_fence});
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, (data_centre, engine))| {
                (
                    format!("sampler-{index}"),
                    endpoint(engine.address, data_centre, true),
                )
            });
        let services = self
            .services
            .iter()
            .enumerate()
            .map(|(index, (data_centre, service))| {
                (
                    format!("slip-{index}"),
                    endpoint(service.address, data_centre, false),
                )
            });
        let engines: serde_json::Map<String, Value> = engines.collect();
        let services: serde_json::Map<String, Value> = services.collect();
        json!({
            "services": {
                "demand-lm": {
                    "kind": "model", "weights_version": 1, "max_in_flight_per_endpoint": 64,
                    "continue_elsewhere": true, "endpoints": engines,
                },
                "slip-api": {"kind": "plain", "max_in_flight_per_endpoint": 64, "endpoints": services},
            },
            "trainers": {"pricing": {"service": "demand-lm"}},
        })
    }

    /// Writes the settings of each daemon, the configuration, and finally the
    /// platform's address, whose file appears atomically.
    ///
    /// # Errors
    ///
    /// Returns the error of creating the directory, or of writing or renaming a
    /// file.
    ///
    /// # Panics
    ///
    /// Panics if there are daemons but no data centres.
    pub fn write_files(&self, size: WorldSize, dir: &Path) -> io::Result<()> {
        fs::create_dir_all(dir)?;
        for index in 0..size.daemons {
            let settings = json!({
                "vm": format!("vm-{index}"),
                "data_centre": data_centre(index, size.data_centres),
                "caller_address": "127.0.0.1:0",
                "control_address": "127.0.0.1:0",
                "platform_addresses": [self.platform.address],
            });
            fs::write(dir.join(format!("vm-{index}.json")), settings.to_string())?;
        }
        fs::write(dir.join("config.json"), self.config().to_string())?;
        let partial = dir.join("platform.partial");
        fs::write(&partial, self.platform.address.to_string())?;
        fs::rename(partial, dir.join("platform"))
    }
}
