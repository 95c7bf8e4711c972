/** Reads settings from flags and environment variables. */
import type { z } from 'zod'
import { FindingsError } from '../errors.js'

/** Unparsed values from the command line and the environment. */
export interface RawSettings {
  readonly flags: Readonly<Record<string, unknown>>
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Parses raw settings with a schema; a flag takes precedence over its environment variable. Throws `FindingsError` with all findings. */
export function readSettings<Schema extends z.ZodType> (schema: Schema, names: readonly string[], raw: RawSettings): z.infer<Schema> {
  const known = new Set(names)
  const unknown = Object.keys(raw.flags).filter(flag => !known.has(flag))
  const findings = unknown.map(flag => ({ place: flagOf(flag), problem: 'is not a known flag' }))
  const values = Object.fromEntries(names.map(name => [name, pick(name, raw)]).filter(([, value]) => value !== undefined))
  const parsed = schema.safeParse(values)
  if (parsed.success && findings.length === 0) return parsed.data
  const problems = parsed.success ? [] : parsed.error.issues.map(issue => ({ place: placeOf(String(issue.path[0] ?? 'role')), problem: problemOf(values, issue) }))
  throw new FindingsError([...findings, ...problems])
}

/** Name of the environment variable of a setting: `POLLENDYKE_LOG_LEVEL` for `logLevel`. */
export function environmentVariableOf (name: string): string {
  return `POLLENDYKE_${kebab(name).replaceAll('-', '_').toUpperCase()}`
}

/** Flag of a setting: `--log-level` for `logLevel`. */
export function flagOf (name: string): string {
  return `--${kebab(name)}`
}

/** Flag and environment variable of a setting, as the place of a finding. */
export function placeOf (name: string): string {
  return `${flagOf(name)} (${environmentVariableOf(name)})`
}

function pick (name: string, raw: RawSettings): unknown {
  const flag = raw.flags[name]
  if (flag !== undefined) return typeof flag === 'number' ? String(flag) : flag
  return raw.environment[environmentVariableOf(name)]
}

function problemOf (values: Readonly<Record<string, unknown>>, issue: { readonly path: readonly PropertyKey[], readonly message: string }): string {
  const value = values[String(issue.path[0] ?? 'role')]
  if (value === undefined) return 'is missing'
  if (value === true) return 'needs a value'
  if (Array.isArray(value)) return 'is given more than once'
  return `${issue.message}, not "${String(value)}"`
}

function kebab (name: string): string {
  return name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}
