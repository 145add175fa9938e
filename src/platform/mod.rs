//! The platform's protocol, translated into the product's own types.
//!
//! Nothing outside this folder knows the platform's names for calls, headers
//! and fields, and nothing in it decides.

mod batches;
mod callers;
mod documents;
mod samplers;
mod store;
mod wire_rows;

pub(crate) use self::{
    batches::{BatchCall, batch_call, decode_batch, encode_results},
    callers::{
        CallerHead, REQUEST_ID, addresses_body, caller_head, forwardable_headers, is_address_query,
        is_readiness_check, resolve_query,
    },
    documents::{
        CONFIG_KEY, OPERATOR_TABLE, SAMPLER_TABLE, decode_config, decode_endpoint, decode_weights,
        weights_model,
    },
    samplers::{
        AnswerHead, EVENT_VERSION_FIELD, Order, OrderOutcome, RunHeaders, answer_head,
        decode_report, order_outcome, order_request, report_request, run_request,
    },
    store::{Condition, Rows, Store, StoreError, Tx, TxOutcome, Value, Watch},
};
