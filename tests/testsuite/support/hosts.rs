//! A platform without hosts.

use peridotspread::protocol::platform;

pub(crate) struct NoHosts;

impl platform::Hosts for NoHosts {
    fn hosts(&self) -> platform::Call<'_, Vec<platform::Host>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}
