package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

var _ = Service("operator", func() {
	Description("Lets operators configure classes, targets and applications, and inspect the system.")
	Security(BearerAuth)

	// The other errors are declared by the methods that return them, because goa generates
	// types for each pair of method and status.
	Error(errUnauthorized, AccessFailure, "The API key is missing or unknown.")
	Error(errForbidden, AccessFailure, "The API key does not belong to an operator.")

	HTTP(func() {
		Path("/v1/operator")
		Response(errUnauthorized, StatusUnauthorized)
		Response(errForbidden, StatusForbidden)
	})

	Method("list_classes", func() {
		Description("Lists the classes in force on this host.")
		Payload(func() {
			tokenAttribute()
			Attribute("tenant", String, "Lists only the classes of this tenant.")
		})
		Result(ClassList)
		HTTP(func() {
			GET("/classes")
			Param("tenant")
		})
	})
	Method("show_class", func() {
		Description("Shows a class in force on this host.")
		Payload(func() {
			tokenAttribute()
			classPathAttributes()
		})
		Result(ClassEntry)
		Error(errNotFound, OperatorFailure)
		HTTP(func() {
			GET("/classes/{tenant}/{name}")
			Response(errNotFound, StatusNotFound)
		})
	})
	Method("set_class", func() {
		Description("Creates or changes a class.")
		Payload(func() {
			tokenAttribute()
			changeAttributes()
			classPathAttributes()
			classAttributes()
			Required("kind", "application", "completion_target_ms")
		})
		Result(ChangeResult)
		addChangeErrors()
		HTTP(func() {
			PUT("/classes/{tenant}/{name}")
			addChangeResponses()
		})
	})
	Method("delete_class", func() {
		Description("Deletes a class.")
		Payload(func() {
			tokenAttribute()
			changeAttributes()
			classPathAttributes()
		})
		Result(ChangeResult)
		addChangeErrors()
		HTTP(func() {
			DELETE("/classes/{tenant}/{name}")
			Param("if_revision")
			Param("change_id")
			addChangeResponses()
		})
	})

	Method("list_applications", func() {
		Description("Lists the applications in force on this host.")
		Payload(func() { tokenAttribute() })
		Result(ApplicationList)
		HTTP(func() { GET("/applications") })
	})
	Method("show_application", func() {
		Description("Shows an application in force on this host.")
		Payload(func() {
			tokenAttribute()
			applicationPathAttributes()
		})
		Result(ApplicationEntry)
		Error(errNotFound, OperatorFailure)
		HTTP(func() {
			GET("/applications/{name}")
			Response(errNotFound, StatusNotFound)
		})
	})
	Method("set_application", func() {
		Description("Creates or changes an application.")
		Payload(func() {
			tokenAttribute()
			changeAttributes()
			applicationPathAttributes()
			applicationAttributes()
		})
		Result(ChangeResult)
		addChangeErrors()
		HTTP(func() {
			PUT("/applications/{name}")
			addChangeResponses()
		})
	})
	Method("delete_application", func() {
		Description("Deletes an application.")
		Payload(func() {
			tokenAttribute()
			changeAttributes()
			applicationPathAttributes()
		})
		Result(ChangeResult)
		addChangeErrors()
		HTTP(func() {
			DELETE("/applications/{name}")
			Param("if_revision")
			Param("change_id")
			addChangeResponses()
		})
	})

	Method("show_change", func() {
		Description("Returns the revision at which a change was accepted.")
		Payload(func() {
			tokenAttribute()
			Attribute("change_id", String, "Identifier of the change.")
			Required("change_id")
		})
		Result(ChangeResult)
		Error(errNotFound, OperatorFailure)
		Error(errRefused, OperatorFailure)
		HTTP(func() {
			GET("/changes/{change_id}")
			Response(errNotFound, StatusNotFound)
			Response(errRefused, StatusServiceUnavailable)
		})
	})
	Method("status", func() {
		Description("Shows the state of this host and its view of its peers, the endpoints and the zone authorities.")
		Payload(func() { tokenAttribute() })
		Result(StatusResult)
		HTTP(func() { GET("/status") })
	})
	Method("drain", func() {
		Description("Starts a graceful shutdown of this host: it accepts no new requests and completes the running ones.")
		Payload(func() { tokenAttribute() })
		Result(DrainResult)
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})
})

// addChangeErrors declares the errors of a change.
func addChangeErrors() {
	Error(errInvalid, OperatorFailure, "The request is malformed or the configuration is invalid.")
	Error(errConflict, OperatorFailure, "The entry has changed since the given revision; nothing was written.")
	Error(errNotFound, OperatorFailure, "The class or application does not exist.")
	Error(errRefused, OperatorFailure, "The configuration store can't be reached; nothing was written.")
	Error(errUnknown, OperatorFailure, "The change may have been made: query it by its change id.")
}

// addChangeResponses sets the HTTP statuses of the errors of a change.
func addChangeResponses() {
	Response(errInvalid, StatusBadRequest)
	Response(errConflict, StatusConflict)
	Response(errNotFound, StatusNotFound)
	Response(errRefused, StatusServiceUnavailable)
	Response(errUnknown, StatusGatewayTimeout)
}

// changeAttributes adds the id of a change and the revision that guards it against concurrent
// changes.
func changeAttributes() {
	// Default(-1) of goa is not used: the generated client would send the default in place of
	// 0, which turns "must be absent" into "any revision".
	Attribute("if_revision", Int64, "Revision of the entry that the change is based on. 0: the entry must not exist; -1 or absent: any revision.", func() {
		Minimum(-1)
	})
	Attribute("change_id", String, "Identifier of the change, chosen by the client; a repeat with the same id is applied once. Generated by the server if absent.", func() {
		MaxLength(128)
	})
}

// classPathAttributes adds the tenant and the name of a class.
func classPathAttributes() {
	Attribute("tenant", String, "Tenant of the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("name", String, "Name of the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Required("tenant", "name")
}

// classAttributes adds the settings of a class.
func classAttributes() {
	Attribute("kind", String, "Kind of the requests of the class.", func() {
		Enum("generate", "call")
	})
	Attribute("application", String, "Application whose endpoints serve the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("repeatable", Boolean, "True if a request can safely run twice. Generate requests are always repeatable.", func() {
		Default(false)
	})
	Attribute("first_token_target_ms", Int64, "Maximum time to the first token; 0: no target.", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("between_tokens_target_ms", Int64, "Maximum mean time between tokens; 0: no target.", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("completion_target_ms", Int64, "Maximum time to the complete answer.", func() {
		Minimum(1)
	})
}

// applicationPathAttributes adds the name of an application.
func applicationPathAttributes() {
	Attribute("name", String, "Name of the application.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Required("name")
}

// applicationAttributes adds the settings of an application.
func applicationAttributes() {
	Attribute("model", String, "Model that the engines load; empty for a plain service.", func() {
		Default("")
	})
	Attribute("version", String, "Version of the model.", func() {
		Default("")
	})
	Attribute("adapter", String, "Adapter of the model; empty for none.", func() {
		Default("")
	})
	Attribute("role_changes_per_hour", Int, "Tolerated number of role changes of the application's engines in an hour.", func() {
		Minimum(0)
		Default(0)
	})
}

// Class is a class of requests of a tenant.
var Class = Type("Class", func() {
	classPathAttributes()
	classAttributes()
	Required("kind", "application", "repeatable", "first_token_target_ms", "between_tokens_target_ms", "completion_target_ms")
})

// ClassEntry is a class with its revision.
var ClassEntry = Type("ClassEntry", func() {
	Attribute("class", Class, "The class.")
	Attribute("revision", Int64, "Configuration revision of its latest change.")
	Required("class", "revision")
})

// ClassList is the result of list_classes.
var ClassList = Type("ClassList", func() {
	Attribute("classes", ArrayOf(ClassEntry), "Classes sorted by tenant and name.")
	Required("classes")
})

// Application is a model application or plain service.
var Application = Type("Application", func() {
	applicationPathAttributes()
	applicationAttributes()
	Required("model", "version", "adapter", "role_changes_per_hour")
})

// ApplicationEntry is an application with its revision.
var ApplicationEntry = Type("ApplicationEntry", func() {
	Attribute("application", Application, "The application.")
	Attribute("revision", Int64, "Configuration revision of its latest change.")
	Required("application", "revision")
})

// ApplicationList is the result of list_applications.
var ApplicationList = Type("ApplicationList", func() {
	Attribute("applications", ArrayOf(ApplicationEntry), "Applications sorted by name.")
	Required("applications")
})

// ChangeResult is an accepted change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("change_id", String, "Identifier of the change.")
	Attribute("revision", Int64, "Configuration revision at which the change was accepted.")
	Required("change_id", "revision")
})

// DrainResult reports that the drain has started.
var DrainResult = Type("DrainResult", func() {
	Attribute("draining", Boolean, "True once the drain has started.")
	Required("draining")
})

// OperatorFailure reports a request of an operator that failed or whose outcome is unknown.
var OperatorFailure = Type("OperatorFailure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("reason", String, "Machine-readable reason in snake case.")
	Attribute("detail", String, "Human-readable description in one line.")
	Attribute("field", String, "For an invalid request: the invalid field.")
	Attribute("accepted", String, "For an invalid request: the accepted values.")
	Attribute("change_id", String, "For a change: its identifier, by which its outcome can be queried.")
	Attribute("current_revision", Int64, "For a conflict: current revision of the entry; 0 if it does not exist.")
	Attribute("current_class", Class, "For a conflict: the current class.")
	Attribute("current_application", Application, "For a conflict: the current application.")
	Attribute("differences", ArrayOf(Difference), "For a conflict: fields in which the current entry differs from the requested one.")
	Required("name", "reason", "detail")
})

// AccessFailure reports a request without a valid API key.
var AccessFailure = Type("AccessFailure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("reason", String, "Machine-readable reason in snake case.")
	Attribute("detail", String, "Human-readable description in one line.")
	Required("name", "reason", "detail")
})

// Difference is one field in which two entries differ.
var Difference = Type("Difference", func() {
	Attribute("field", String, "Name of the field.")
	Attribute("current", String, "Current value.")
	Attribute("requested", String, "Requested value.")
	Required("field", "current", "requested")
})
