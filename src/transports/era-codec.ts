/** What nodes tell each other of the eras of a stream, as lists. */
import type { Divergence, EraReport } from '../core/stream-eras.js'

/** Era and age, then `after`, `era` and `offset` of each divergence. */
export type EncodedEras = readonly (number | readonly number[])[]

/** Encodes a report. */
export function encodeEraReport ({ era, ageMilliseconds, divergences }: EraReport): EncodedEras {
  return [era, ageMilliseconds, ...divergences.map(({ after, era, offset }) => [after, era, offset])]
}

/** Encodes the reports of several streams as one list; nothing if there is none. */
export function encodeEraReports (reports: readonly (EraReport | undefined)[]): readonly (readonly EncodedEras[])[] {
  return reports.every(report => report === undefined) ? [] : [reports.map(report => report === undefined ? [] : encodeEraReport(report))]
}

/** Decodes a report; undefined for anything but numbers that are whole and at least 0. */
export function decodeEraReport (encoded: unknown): EraReport | undefined {
  if (!Array.isArray(encoded)) return undefined
  const [era, ageMilliseconds, ...rest] = encoded as readonly unknown[]
  const divergences = rest.map(decodeDivergence)
  if (!isCount(era) || !isCount(ageMilliseconds) || divergences.includes(undefined)) return undefined
  return { era, ageMilliseconds, divergences: divergences.flatMap(divergence => divergence ?? []) }
}

function decodeDivergence (encoded: unknown): Divergence | undefined {
  if (!Array.isArray(encoded)) return undefined
  const [after, era, offset] = encoded as readonly unknown[]
  return isCount(after) && isCount(era) && isCount(offset) ? { after, era, offset } : undefined
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}
