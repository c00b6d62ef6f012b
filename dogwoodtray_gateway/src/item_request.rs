//! Requests of the items of jobs to endpoints.

use dogwoodtray_coord::Name;
use hyper::Method;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use quick_error::quick_error;

use crate::caller::set_organization;
use crate::model::JobItem;
use crate::model::Organization;
use crate::model::ProtocolNames;
use crate::model::name_header;
use crate::request::EndpointRequest;
use crate::request::strip_hop_by_hop_headers;

quick_error! {
    /// Reason why an item can be sent to no endpoint.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(unreachable_pub, reason = "quick_error! accepts `pub` only")]
    pub enum ItemError {
        Id {
            display("its id cannot be sent")
        }
        Path {
            display("its path cannot be sent")
        }
        Header {
            display("one of its headers cannot be sent")
        }
        Host {
            display("the host of its route cannot be sent")
        }
        Organization {
            display("the name of its organization cannot be sent")
        }
    }
}

/// Caller of a job, as its endpoints are to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemSender<'a> {
    /// The configuration names no organizations, so that headers pass unchanged.
    Unkeyed,
    /// The job belongs to no organization.
    Nobody,
    /// The job belongs to this organization.
    Organization(&'a Name),
}

impl EndpointRequest {
    /// Prepares the request of an item.
    ///
    /// # Errors
    ///
    /// Returns an error if the item can be sent to no endpoint.
    pub(crate) fn for_item(
        names: &ProtocolNames,
        host: &Name,
        sender: ItemSender<'_>,
        item: &JobItem,
    ) -> Result<Self, ItemError> {
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            let name: HeaderName = name.parse().map_err(|_| ItemError::Header)?;
            headers.append(name, value.parse().map_err(|_| ItemError::Header)?);
        }
        strip_hop_by_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let host = HeaderValue::from_str(host).map_err(|_| ItemError::Host)?;
        headers.insert(header::HOST, host);
        match sender {
            ItemSender::Unkeyed => {}
            ItemSender::Nobody => set_organization(&mut headers, &names.organization, None),
            ItemSender::Organization(name) => {
                let value = Organization::name_header(name).ok_or(ItemError::Organization)?;
                set_organization(&mut headers, &names.organization, Some(value));
            }
        }
        let id = name_header(&item.id).ok_or(ItemError::Id)?;
        headers.insert(names.request_id.clone(), id);
        if !item.path.starts_with('/') {
            return Err(ItemError::Path);
        }
        let path_and_query: PathAndQuery = item.path.parse().map_err(|_| ItemError::Path)?;
        Ok(Self { method: Method::POST, path_and_query, headers, body: item.body.clone() })
    }
}
