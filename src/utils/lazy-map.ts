/** A map whose values are created when they are first asked for. */
export class LazyMap<Value> {
  private readonly entries = new Map<string, Value>()

  constructor (private readonly create: () => Value) {}

  /** The value of a key, created if there is none. */
  get (key: string): Value {
    const known = this.entries.get(key)
    if (known !== undefined) return known
    const created = this.create()
    this.entries.set(key, created)
    return created
  }

  /** All values that were created. */
  values (): readonly Value[] {
    return [...this.entries.values()]
  }
}
