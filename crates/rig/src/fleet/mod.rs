//! Runs a platform stand-in, upstream stand-ins and instances as separate processes on loopback.

mod api;
mod plan;
mod process;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::Duration,
};

use serde_json::Value;
use snafu::{ResultExt, Snafu};

pub use api::{Response, call, control, get_json, put_object};
pub use plan::{EntryPlan, FleetPlan, ServicePlan};
pub use process::{Process, Usage, binary_path};

/// Time within which an instance has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of instances, below the range from which Linux assigns ephemeral ports (32768 and up).
const INSTANCE_PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Distance between the first ports that processes with consecutive ids try, so that processes
/// started one after the other do not begin with the same ports.
const PORT_STEP: u16 = 97;

/// Why a fleet did not start or an operation on it failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Starting a process or an operation on a file failed.
    #[snafu(display("cannot {operation}: {source}"))]
    Io {
        /// Operation that failed.
        operation: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A request to a process failed.
    #[snafu(display("{operation}: {source}"))]
    Request {
        /// Operation that failed.
        operation: Box<str>,
        /// Error of the HTTP client.
        source: crate::client::Error,
    },
    /// An operation completed with an unexpected result.
    #[snafu(display("{details}"))]
    Unexpected {
        /// Operation and its result.
        details: Box<str>,
    },
}

/// An instance that runs as a process.
#[derive(Debug)]
pub struct Instance {
    /// Process of the instance.
    pub process: Process,
    /// Name of the instance, `<data centre>-<number>`.
    pub name: Box<str>,
    /// Address that serves callers and operators.
    pub caller_address: SocketAddr,
    settings: PathBuf,
}

/// An upstream stand-in and its address.
#[derive(Clone, Debug)]
pub struct RunningUpstream {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// A running fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Process of the platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Processes of the upstream stand-ins; each runs the upstreams of one service.
    pub upstream_processes: Vec<Process>,
    /// Upstreams of all services.
    pub upstreams: Vec<RunningUpstream>,
    /// Instances of all data centres.
    pub instances: Vec<Instance>,
    /// Plan of the fleet; changes to its catalogue take effect with [`Fleet::apply`].
    pub plan: FleetPlan,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or an instance does not become ready.
    pub async fn start(plan: FleetPlan) -> Result<Self, Error> {
        let folder = create_folder()?;
        let rig = binary_path("briarcove-rig");
        let latency = plan.platform_latency_ms.to_string();
        let args = ["platform", "--port", "0", "--latency-ms", latency.as_str()];
        let (platform, addresses) = Process::start_server(&rig, &args, 1).context(IoSnafu {
            operation: "start the platform",
        })?;
        let platform_address = addresses[0];
        let (upstream_processes, upstreams) = start_upstreams(&plan, &folder)?;
        let mut fleet = Self {
            platform,
            platform_address,
            upstream_processes,
            upstreams,
            instances: Vec::new(),
            folder,
            plan,
        };
        fleet.publish_indexes().await?;
        fleet.apply()?;
        fleet.start_instances()?;
        for index in 0..fleet.instances.len() {
            fleet.wait_ready(index).await?;
        }
        Ok(fleet)
    }

    async fn publish_indexes(&self) -> Result<(), Error> {
        for (name, index) in self.plan.indexes() {
            let path = format!("/v1/objects/index/{name}");
            api::put_object(self.platform_address, &path, index).await?;
        }
        Ok(())
    }

    /// Applies the catalogue of the running upstreams with `briarcove apply`.
    ///
    /// # Errors
    ///
    /// Fails when `briarcove apply` fails.
    pub fn apply(&self) -> Result<(), Error> {
        let file = self.folder.join("catalogue.jsonc");
        let text = self.plan.catalogue(&self.upstreams);
        std::fs::write(&file, text).context(IoSnafu {
            operation: "write the catalogue",
        })?;
        let output = std::process::Command::new(binary_path("briarcove"))
            .args(["apply", "--platform", &self.platform_address.to_string()])
            .arg(&file)
            .output()
            .context(IoSnafu {
                operation: "run briarcove apply",
            })?;
        if output.status.success() {
            return Ok(());
        }
        let stderr = String::from_utf8_lossy(&output.stderr);
        let stdout = String::from_utf8_lossy(&output.stdout);
        UnexpectedSnafu {
            details: format!("briarcove apply failed: {stderr}{stdout}"),
        }
        .fail()
    }

    fn start_instances(&mut self) -> Result<(), Error> {
        let instances = self.plan.instances();
        let mut ports = Vec::new();
        for _ in 0..instances.len() {
            let pair = (find_free_port()?, find_free_port()?);
            ports.push(pair);
        }
        let seeds: Vec<SocketAddr> = ports.iter().map(|(_, peers)| *peers).collect();
        for ((name, data_centre), (callers, peers)) in instances.into_iter().zip(ports) {
            let settings = self.folder.join(format!("{name}.jsonc"));
            let text = self.plan.settings(
                (&name, &data_centre),
                (callers, peers),
                self.platform_address,
                &seeds,
            );
            std::fs::write(&settings, text).context(IoSnafu {
                operation: "write the settings",
            })?;
            let process = self.start_instance(&name, &settings)?;
            self.instances.push(Instance {
                process,
                name,
                caller_address: callers,
                settings,
            });
        }
        Ok(())
    }

    fn start_instance(&self, name: &str, settings: &std::path::Path) -> Result<Process, Error> {
        let output = self.folder.join(format!("{name}.log"));
        let path = settings.to_string_lossy();
        let args = ["serve", "--settings", &*path];
        Process::start(&binary_path("briarcove"), &args, &output).with_context(|_| IoSnafu {
            operation: format!("start instance {name}"),
        })
    }

    /// Kills an instance if it still runs, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn restart(&mut self, index: usize) -> Result<(), Error> {
        self.instances[index].process.kill();
        let (name, settings) = (
            self.instances[index].name.clone(),
            self.instances[index].settings.clone(),
        );
        self.instances[index].process = self.start_instance(&name, &settings)?;
        Ok(())
    }

    /// Waits until an instance is ready.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not ready in time.
    pub async fn wait_ready(&self, index: usize) -> Result<(), Error> {
        let address = self.instances[index].caller_address;
        let end = std::time::Instant::now() + READY_TIMEOUT;
        while std::time::Instant::now() < end {
            if let Ok(response) = call(address, "GET", "/health", &[], "").await
                && response.status == 200
            {
                return Ok(());
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let log = self.log(index);
        UnexpectedSnafu {
            details: format!("instance {index} is not ready\n{log}"),
        }
        .fail()
    }

    /// Returns the log of an instance.
    pub fn log(&self, index: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.instances[index].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the status document of an instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub async fn status(&self, index: usize) -> Result<Value, Error> {
        get_json(self.instances[index].caller_address, "/v1/status").await
    }

    /// Returns the address of an upstream.
    pub fn upstream(&self, name: &str) -> Option<SocketAddr> {
        self.upstreams
            .iter()
            .find(|u| &*u.name == name)
            .map(|u| u.address)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A folder that cannot be removed stays in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_upstreams(
    plan: &FleetPlan,
    folder: &std::path::Path,
) -> Result<(Vec<Process>, Vec<RunningUpstream>), Error> {
    let mut processes = Vec::new();
    let mut upstreams = Vec::new();
    for (number, (spec, names)) in plan.upstream_groups().into_iter().enumerate() {
        let file = folder.join(format!("upstreams-{number}.json"));
        std::fs::write(&file, spec).context(IoSnafu {
            operation: "write the specification of upstreams",
        })?;
        let path = file.to_string_lossy();
        let args = ["upstreams", "--spec", &*path];
        let (process, addresses) =
            Process::start_server(&binary_path("briarcove-rig"), &args, names.len()).context(
                IoSnafu {
                    operation: "start upstreams",
                },
            )?;
        processes.push(process);
        let running = names.into_iter().zip(addresses);
        upstreams.extend(running.map(|(name, address)| RunningUpstream { name, address }));
    }
    Ok((processes, upstreams))
}

fn create_folder() -> Result<PathBuf, Error> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("briarcove-rig-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).context(IoSnafu {
        operation: "create a temporary folder",
    })?;
    Ok(folder)
}

/// Returns a free port outside the ephemeral range, so that no outgoing connection takes it while
/// its instance restarts.
fn find_free_port() -> Result<SocketAddr, Error> {
    static NEXT_OFFSET: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let count = INSTANCE_PORTS.end - INSTANCE_PORTS.start;
    let first = u16::try_from(std::process::id() % u32::from(count)).unwrap_or(0);
    for _ in 0..count {
        let offset = NEXT_OFFSET.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port =
            INSTANCE_PORTS.start + first.wrapping_mul(PORT_STEP).wrapping_add(offset) % count;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().context(IoSnafu {
                operation: "read the bound port",
            });
        }
    }
    UnexpectedSnafu {
        details: format!("no free port in {INSTANCE_PORTS:?}"),
    }
    .fail()
}
