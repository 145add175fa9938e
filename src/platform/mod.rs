//! Translates the platform's protocol to and from the project's own types.
//!
//! The platform's names for calls, headers and fields are known only in this
//! module, which makes no decisions of its own.

mod accounts;
mod batches;
mod callers;
mod documents;
mod duties;
mod samplers;
mod store;
mod wire_rows;

pub(crate) use self::{
    batches::{BatchCall, OTHER_RESULT_BYTES, decode_batch, encode_results, parse_batch_call},
    callers::{
        CallerHead, REQUEST_ID_HEADER, encode_addresses, forwardable_headers, is_address_query,
        is_readiness_check, parse_address_query, parse_caller_head, parse_key, set_account,
    },
    documents::{
        CONFIG_KEY, OPERATOR_TABLE, SAMPLER_TABLE, decode_config, decode_endpoint,
        decode_weights_version, model_of_weights_key,
    },
    duties::{DutyCall, DutyCaller, DutyOutcome, build_duty_request, duty_outcome},
    samplers::{
        AnswerHead, EVENT_VERSION_FIELD, Order, OrderOutcome, RequestHeaders, StatedLimit,
        announces_leaving, build_order_request, build_report_request, build_request,
        decode_orders_accepted, named_request, order_outcome, parse_answer_head, stated_limit,
    },
    store::{Condition, Row, Rows, Store, StoreError, Tx, TxOutcome, WatchOutcome},
};
