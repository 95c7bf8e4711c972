/** Settings, exit codes and files of the command line. */
import { createPrivateKey, type KeyObject } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { z } from 'zod'
import { FindingsError } from '../errors.js'
import { readSettings } from '../utils/settings.js'

/** Exit codes of the command line. */
export const exitCodes = {
  ok: 0,
  /** The change was refused, or lost a race. */
  refused: 1,
  /** The input has findings; each was printed with its place. */
  badInput: 2,
  /** The log or the nodes cannot be reached, or the outcome of a change is not known. */
  unknown: 3,
  /** The change was accepted, but some nodes do not have it in force yet. */
  notYetInForce: 4
} as const

/** Thrown where something cannot be reached. */
export class UnreachableError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'UnreachableError'
  }
}

const urlSchema = z.string().regex(/^http:\/\/\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be http://IP:PORT')
const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT')

const settingSchemas = {
  log: urlSchema,
  instances: urlSchema.optional(),
  entry: addressSchema.optional(),
  origin: urlSchema.optional(),
  author: z.string().min(1).max(128).default(() => userInfo().username),
  key: z.string().min(1).optional(),
  wait: z.coerce.number().positive().max(3600).default(15)
} as const

/** Name of a setting. */
export type SettingName = keyof typeof settingSchemas

/** Reads the named settings from flags and environment variables; `flags` holds only flags that are settings. */
export function settingsFrom<Name extends SettingName> (names: readonly Name[], options: Readonly<Record<string, unknown>>): { readonly [Key in Name]: z.infer<typeof settingSchemas[Key]> } {
  const schema = z.object(Object.fromEntries(names.map(name => [name, settingSchemas[name]])))
  const flags = Object.fromEntries(names.flatMap(name => options[name] === undefined ? [] : [[name, options[name]]]))
  return readSettings(schema, names, { flags, environment: process.env }) as { readonly [Key in Name]: z.infer<typeof settingSchemas[Key]> }
}

/** Parses a JSON file; a fault names the file, line and column. */
export function readJsonFile (file: string): unknown {
  const text = readFile(file)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new FindingsError([{ place: `${file}${syntaxErrorPosition(text)}`, problem: `is not JSON: ${(error as Error).message.replaceAll(/\s+/g, ' ')}` }])
  }
}

/** Parses a JSON file and checks it; findings are placed in the file. */
export function readCheckedFile<Value> (file: string, check: (value: unknown) => Value): Value {
  const value = readJsonFile(file)
  try {
    return check(value)
  } catch (error) {
    if (!(error instanceof FindingsError)) throw error
    throw new FindingsError(error.findings.map(({ place, problem }) => ({ place: `${file}: ${place}`, problem })))
  }
}

/** Reads a private Ed25519 key, PEM. */
export function readPrivateKey (file: string): KeyObject {
  const text = readFile(file)
  try {
    const key = createPrivateKey(text)
    if (key.asymmetricKeyType === 'ed25519') return key
  } catch {
    // The finding below says what the file should be.
  }
  throw new FindingsError([{ place: file, problem: 'is no private Ed25519 key in PEM' }])
}

function readFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new FindingsError([{ place: file, problem: `cannot be read: ${(error as Error).message}` }])
  }
}

/** Line and column of the first character after which no JSON can follow; the parser does not always name it. */
function syntaxErrorPosition (text: string): string {
  let good = 0
  let bad = text.length + 1
  while (bad - good > 1) {
    const middle = Math.floor((good + bad) / 2)
    if (isJsonPrefix(text.slice(0, middle))) good = middle
    else bad = middle
  }
  const lines = text.slice(0, good).split('\n')
  return `:${lines.length}:${(lines.at(-1)?.length ?? 0) + 1}`
}

/** Whether more text could still make it JSON. */
function isJsonPrefix (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch (error) {
    const { message } = error as Error
    const position = /position (\d+)/.exec(message)?.[1]
    return message.includes('end of JSON input') || message.startsWith('Unterminated') || Number(position ?? -1) >= text.length
  }
}
