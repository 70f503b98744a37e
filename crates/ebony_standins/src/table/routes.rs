//! The HTTP routes of the table service.

use actix_web::dev::ServiceRequest;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use ebony_platform::protocol::{
    CBOR_MEDIA_TYPE, CreateRequest, DeleteRequest, ListRequest, ReadRequest, ReplaceRequest, VersionReply,
    from_cbor, table_route, to_cbor,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TableState;
use super::rows::{Result, RowFailure};

pub(crate) fn data_routes(config: &mut web::ServiceConfig) {
    config
        .route(table_route::READ, web::post().to(read))
        .route(table_route::LIST, web::post().to(list))
        .route(table_route::CREATE, web::post().to(create))
        .route(table_route::REPLACE, web::post().to(replace))
        .route(table_route::DELETE, web::post().to(delete));
}

/// Returns whether a request changes rows.
pub(crate) fn is_write(request: &ServiceRequest) -> bool {
    !matches!(request.path(), table_route::READ | table_route::LIST)
}

async fn read(state: web::Data<TableState>, body: Bytes) -> HttpResponse {
    respond(&body, |request: ReadRequest| {
        ensure_admitted(state.try_admit_read())?;
        state.stats.change(|stats| stats.reads += 1);
        let is_stale = state.check_stale(&request.key.0);
        Ok(state.rows.borrow().read(&request.key, is_stale))
    })
}

async fn list(state: web::Data<TableState>, body: Bytes) -> HttpResponse {
    respond(&body, |request: ListRequest| {
        ensure_admitted(state.try_admit_read())?;
        state.stats.change(|stats| stats.lists += 1);
        let is_stale = state.check_stale(&request.prefix);
        Ok(state.rows.borrow().list(&request, is_stale))
    })
}

async fn create(state: web::Data<TableState>, body: Bytes) -> HttpResponse {
    respond(&body, |request: CreateRequest| {
        ensure_admitted(state.try_admit_write())?;
        let result = state.rows.borrow_mut().create(request);
        let version = count_write(&state, result)?;
        Ok(VersionReply { version })
    })
}

async fn replace(state: web::Data<TableState>, body: Bytes) -> HttpResponse {
    respond(&body, |request: ReplaceRequest| {
        ensure_admitted(state.try_admit_write())?;
        let result = state.rows.borrow_mut().replace(request);
        let version = count_write(&state, result)?;
        Ok(VersionReply { version })
    })
}

async fn delete(state: web::Data<TableState>, body: Bytes) -> HttpResponse {
    respond(&body, |request: DeleteRequest| {
        ensure_admitted(state.try_admit_write())?;
        let result = state.rows.borrow_mut().delete(&request);
        count_write(&state, result)
    })
}

fn ensure_admitted(is_allowed: bool) -> Result<()> {
    if is_allowed {
        Ok(())
    } else {
        Err(RowFailure::RateExceeded)
    }
}

fn count_write<T>(state: &TableState, result: Result<T>) -> Result<T> {
    state.stats.change(|stats| match &result {
        Ok(_) => stats.writes += 1,
        Err(RowFailure::Conflict) => stats.conflicts += 1,
        Err(RowFailure::Full | RowFailure::RateExceeded) => stats.rejected_writes += 1,
    });
    result
}

fn respond<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    handle: impl FnOnce(Q) -> Result<A>,
) -> HttpResponse {
    let request = match from_cbor(body) {
        Ok(request) => request,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let reply = match handle(request) {
        Ok(reply) => reply,
        Err(RowFailure::Conflict) => return HttpResponse::Conflict().finish(),
        Err(RowFailure::Full) => return HttpResponse::ServiceUnavailable().body("the table is full"),
        Err(RowFailure::RateExceeded) => return HttpResponse::ServiceUnavailable().body("over the rate"),
    };
    match to_cbor(&reply) {
        Ok(bytes) => HttpResponse::Ok().content_type(CBOR_MEDIA_TYPE).body(bytes),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
