//! The `targets` and `programs` commands.

use std::io::Write;

use awc::http::Method;
use serde_json::{Value, json};

use super::Session;
use crate::client::AdminRequest;
use crate::command::{ProgramCommand, TargetCommand};
use crate::error::{ControlError, Result};
use crate::render::{program_table, target_table};

/// Rejects names that would change the path of a request, such as `../config`.
fn check_path_segment(text: &str) -> Result<&str> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    if !text.is_empty() && text.bytes().all(is_plain) {
        Ok(text)
    } else {
        Err(ControlError::Usage(format!("`{text}` is not a name")))
    }
}

impl<W: Write> Session<W> {
    pub(super) async fn targets(&mut self, command: &TargetCommand) -> Result<()> {
        match command {
            TargetCommand::List => {
                let answer = self.read("/v1/targets").await?;
                self.print(&answer, target_table)
            }
            TargetCommand::Drain { name } => self.drain(check_path_segment(name)?).await,
        }
    }

    /// Drains a target at every entry, because each entry selects targets on its own.
    async fn drain(&mut self, name: &str) -> Result<()> {
        let path = format!("/v1/targets/{name}/drain");
        let request = AdminRequest::new(Method::POST, path, None);
        let mut targets = Vec::new();
        for entry in self.client.entries() {
            targets.push(self.client.send_to(entry, &request).await?);
        }
        self.print(&json!({"targets": targets}), target_table)
    }

    pub(super) async fn programs(&mut self, command: &ProgramCommand) -> Result<()> {
        let request = match command {
            ProgramCommand::Show { id, history } => AdminRequest::get(format!(
                "/v1/programs/{}?history={history}",
                check_path_segment(id)?
            )),
            ProgramCommand::Cancel { id } => {
                let path = format!("/v1/programs/{}", check_path_segment(id)?);
                AdminRequest::new(Method::DELETE, path, None)
            }
        };
        let program: Value = self.client.send(&request).await?;
        self.print(&program, program_table)
    }
}
