/** Traces: a span for each hop of a request; the `traceparent` header carries the context from process to process. */
import { context, propagation, SpanKind, SpanStatusCode, trace, type Attributes, type Context } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { InMemorySpanExporter, SimpleSpanProcessor, type ReadableSpan, type SpanExporter } from '@opentelemetry/sdk-trace-base'
import { NodeTracerProvider } from '@opentelemetry/sdk-trace-node'
import { logFor } from '../utils/log.js'

const log = logFor('trace')
/** Code of a successful export (`ExportResultCode.SUCCESS`). */
const exportSucceeded = 0

/** Writes each ended span to the log. Attributes must not contain bodies, tokens or keys. */
class LogSpanExporter implements SpanExporter {
  export (spans: ReadableSpan[], done: (result: { code: number }) => void): void {
    for (const span of spans) log.info('a span ended', describeSpan(span))
    done({ code: exportSucceeded })
  }

  async shutdown (): Promise<void> {}
}

/** Span of one hop of a request. */
export interface Hop {
  /** Value of the `traceparent` header for the next hop; empty if tracing is off. */
  readonly traceParent: string
  /** Ends the span; with a `failure` it is marked as failed. */
  end (failure?: string): void
}

/** Enables tracing in this process. Returns the exporter that holds the spans if `destination` is `memory`. */
export function startTracing (destination: 'log' | 'memory'): InMemorySpanExporter | undefined {
  const memory = destination === 'memory' ? new InMemorySpanExporter() : undefined
  const exporter = memory ?? new LogSpanExporter()
  const provider = new NodeTracerProvider({ spanProcessors: [new SimpleSpanProcessor(exporter)] })
  provider.register({ propagator: new W3CTraceContextPropagator() })
  return memory
}

/** Starts the span of a hop as a child of the span in `traceParent`. */
export function startHop (name: string, traceParent: string, attributes: Attributes): Hop {
  const parent: Context = propagation.extract(context.active(), { traceparent: traceParent })
  const span = trace.getTracer('pollendyke').startSpan(name, { kind: SpanKind.SERVER, attributes }, parent)
  const carrier: Record<string, string> = {}
  propagation.inject(trace.setSpan(parent, span), carrier)
  return {
    traceParent: carrier['traceparent'] ?? '',
    end: failure => {
      if (failure !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
      span.end()
    }
  }
}

function describeSpan (span: ReadableSpan): Readonly<Record<string, string | number>> {
  const { traceId, spanId } = span.spanContext()
  const milliseconds = span.duration[0] * 1000 + span.duration[1] / 1_000_000
  const attributes = Object.fromEntries(Object.entries(span.attributes).map(([key, value]) => [key, String(value)]))
  return { ...attributes, span: span.name, traceId, spanId, parent: span.parentSpanContext?.spanId ?? '', milliseconds, failure: span.status.message ?? '' }
}
