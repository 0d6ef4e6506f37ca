//! The tool's HTTP calls to entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_wire::caller::{Entries, WORKSPACE_HEADER};
use fireflyhoist_wire::status::Status;
use futures_util::future::join_all;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::time::timeout;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::flags;

/// How long an entry host may take to answer a report; one that is busy answers in milliseconds.
const DEADLINE: Duration = Duration::from_secs(3);

/// The largest report in bytes, well above the status of the design size.
const MAX_REPORT: usize = 16 << 20;

/// The entry hosts that the operator named.
#[derive(Debug)]
pub(crate) struct Fleet {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Fleet {
    pub(crate) async fn open(flags: &flags::Fleet) -> Result<Self, Error> {
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .build(SharedCfg::default())
            .await
            .map_err(|_| Error::Client)?;
        Ok(Self { client, entries: flags.entries.clone() })
    }

    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    pub(crate) fn named(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Reads a report of one entry host.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        self.get_as(address, path, None).await
    }

    async fn get_as<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        workspace: Option<&id::Workspace>,
    ) -> Result<T, Error> {
        let foreign = |reason: String| Error::Foreign { address, reason };
        let call = async {
            let url = format!("http://{address}{path}");
            let mut request = self.client.get(url);
            if let Some(workspace) = workspace {
                request = request.header(WORKSPACE_HEADER, workspace.as_str());
            }
            let response = request.send().await;
            let response = response.map_err(|e| foreign(format!("nothing ({e})")))?;
            let status = response.status();
            let body = response.body().limit(MAX_REPORT).await;
            let body = body.map_err(|e| foreign(format!("a broken body ({e})")))?;
            if !status.is_success() {
                return Err(foreign(status.to_string()));
            }
            serde_json::from_slice(&body).map_err(|e| foreign(format!("no report ({e})")))
        };
        timeout(DEADLINE, call)
            .await
            .unwrap_or_else(|()| Err(foreign(format!("nothing in {} s", DEADLINE.as_secs()))))
    }

    /// Sets something at a path, or takes it away.
    pub(crate) async fn operate(
        &self,
        address: SocketAddr,
        path: &str,
        remove: bool,
    ) -> Result<(), Error> {
        let foreign = |reason: String| Error::Foreign { address, reason };
        let url = format!("http://{address}{path}");
        let request = if remove { self.client.delete(url) } else { self.client.put(url) };
        let sent = timeout(DEADLINE, request.send()).await;
        let sent = sent.map_err(|()| foreign(format!("nothing in {} s", DEADLINE.as_secs())))?;
        let response = sent.map_err(|e| foreign(format!("nothing ({e})")))?;
        match response.status().is_success() {
            true => Ok(()),
            false => Err(foreign(response.status().to_string())),
        }
    }

    /// The addresses that callers of a workspace should use.
    pub(crate) async fn entries(
        &self,
        workspace: Option<&id::Workspace>,
    ) -> Result<Entries, Error> {
        let mut reason = String::new();
        for address in &self.entries {
            match self.get_as(*address, "/v1/entries", workspace).await {
                Ok(entries) => return Ok(entries),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(Error::Unreachable { tried: self.entries.len(), reason })
    }

    /// Reads a report of the first named entry host that answers.
    pub(crate) async fn get_any<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<(SocketAddr, T), Error> {
        let mut reason = String::new();
        for address in &self.entries {
            match self.get(*address, path).await {
                Ok(report) => return Ok((*address, report)),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(Error::Unreachable { tried: self.entries.len(), reason })
    }

    /// The members that the first named host that answers knows of, itself included.
    pub(crate) async fn members(&self) -> Result<Vec<(String, SocketAddr)>, Error> {
        let (asked, status): (SocketAddr, Status) = self.get_any("/v1/status").await?;
        let own = (status.host.to_string(), asked);
        let mut listed: Vec<(String, SocketAddr)> = status
            .members
            .iter()
            .filter_map(|member| Some((member.host.to_string(), member.address?)))
            .collect();
        if !listed.iter().any(|(host, _)| *host == own.0) {
            listed.push(own);
        }
        Ok(listed)
    }

    /// Asks each member for a report of its own.
    pub(crate) async fn ask<T: DeserializeOwned>(
        &self,
        members: &[(String, SocketAddr)],
        path: &str,
    ) -> Vec<Heard<T>> {
        let asks = members.iter().map(async |(host, address)| {
            let report = self.get(*address, path).await.map_err(|error| error.to_string());
            Heard { host: host.clone(), address: *address, report }
        });
        join_all(asks).await
    }

    /// Asks every member for a report of its own.
    pub(crate) async fn each<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<Heard<T>>, Error> {
        Ok(self.ask(&self.members().await?, path).await)
    }
}

/// What one member answered.
#[derive(Clone, Debug)]
pub(crate) struct Heard<T> {
    pub(crate) host: String,
    pub(crate) address: SocketAddr,
    pub(crate) report: Result<T, String>,
}
